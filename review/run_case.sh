#!/usr/bin/env bash
# Runs a built case: run_case.sh CASE_FOLDER TROUBLE. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE is 0 to leave the disruption out, otherwise 1.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/review/bin/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/masticshunt" ] || exit 2
scratch=$(mktemp -d) || exit 2
cd "$root" || exit 2
timeout --kill-after=5 110 "$program" "$folder" "$scratch" "$2"
code=$?
[ "${KEEP_LOGS:-}" = "" ] && rm -rf "$scratch" || echo "logs: $scratch"
[ "$code" -le 2 ] || code=2
exit "$code"
