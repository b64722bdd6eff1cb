#!/usr/bin/env bash
# Builds the cases of the third review and the stand-ins in them, after the build of
# deploy/system.toml. The results are under target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in ${CASES:-review/1[1-5]}; do
  [ -e "$folder/play.cpp" ] || continue
  g++ -std=c++20 -O1 -fcoroutines -Wno-mismatched-new-delete \
    -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION \
    -Iinclude -Isrc -I. -Ireview -Ireview/common-3 -Itests \
    "$folder/play.cpp" -o "target/review-3/case-$(basename "$folder")" \
    target/libmasticshunt_shell.a target/libmasticshunt_decisions.a \
    -lspdlog -lfmt -ldocopt -lpthread &
done
wait
for folder in ${CASES:-review/1[1-5]}; do
  [ -e "$folder/play.cpp" ] || continue
  test -x "target/review-3/case-$(basename "$folder")"
done
