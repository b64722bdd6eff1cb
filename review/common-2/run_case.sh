#!/bin/sh
# Plays a script case: run_case.sh PROGRAM FOLDER. Writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
program=$1
folder=$(cd "$2" && pwd)
cd "$folder/../.." || exit 2
rm -f "$folder/record.txt"
test -x target/masticshunt && test -x "target/review-2/$program" || exit 2
temporary=$(mktemp -d) || exit 2
timeout -k 5 110 "target/review-2/$program" "$folder" "$temporary"
result=$?
rm -rf "$temporary"
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
