#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin, with the libraries of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
pids=()
for source in */case.cpp; do
  g++ -std=c++20 -O1 -pthread -I common -o "bin/case-$(dirname "$source")" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
