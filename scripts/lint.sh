#!/usr/bin/env bash
# Runs clang-tidy over every source file of the product in parallel.
# websocket_transport.cpp is excluded: websocketpp is C++17 and its own findings would fill the output.
set -euo pipefail
build="${1:-build}"
git ls-files 'src/*.cpp' | grep -v 'websocket_transport.cpp' |
  xargs -P "$(nproc)" -n 1 clang-tidy-16 -p "$build" --quiet 2> >(grep -vE 'warnings? generated|Suppressed|Use -header-filter' >&2 || true)
