#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs the packages of the deploy
# file only.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
for each in leaving_forgotten smuggled stop_with_slow_reader; do
  g++ -std=c++20 -O1 -pthread "review/common-2/$each.cpp" -o "target/review-2/$each" &
done
wait
for each in leaving_forgotten smuggled stop_with_slow_reader; do
  test -x "target/review-2/$each"
done
