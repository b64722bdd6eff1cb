#!/usr/bin/env bash
# Runs the case of the folder $1: exit code 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-3/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/masticshunt" ] || { echo "build first: review/build-3.sh"; exit 2; }
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
CASE_ROOT="$root" CASE_DIRECTORY="$scratch" timeout -s KILL 118 "$program" >"$folder/record.txt" 2>&1
code=$?
[ -n "${CASE_KEEP_LOGS:-}" ] && cp "$scratch"/*.log "$CASE_KEEP_LOGS"/
tail -n 4 "$folder/record.txt"
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
