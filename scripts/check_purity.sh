#!/usr/bin/env bash
# Checks that the decisions library neither includes nor links sockets, threads, clocks or randomness.
set -euo pipefail
library="$1"
root="$(cd "$(dirname "$0")/.." && pwd)"

forbidden_includes='#include <(thread|mutex|shared_mutex|condition_variable|future|random|fstream|filesystem|iostream|ctime|time\.h|unistd\.h|sys/|netinet/|arpa/|boost/asio|boost/beast|websocketpp|spdlog)'
if grep -rnE "$forbidden_includes" "$root/src/decisions" "$root/include/masticshunt/decisions" "$root/include/masticshunt/base"; then
  echo "decisions include a header of I/O, threads, clocks or randomness" >&2
  exit 1
fi
if grep -rnE '#include "masticshunt/(caller|upstream|store|platform|agent|operator|support)/' \
    "$root/src/decisions" "$root/include/masticshunt/decisions"; then
  echo "decisions include a header of a shell" >&2
  exit 1
fi

forbidden_symbols='^(socket|connect|send|sendto|recv|recvfrom|read|write|open|poll|epoll_.*|select|pthread_create|pthread_mutex_lock|clock_gettime|gettimeofday|time|rand|random|getrandom|nanosleep|usleep)(@|$)|steady_clock.*now|system_clock.*now|random_device'
if nm -u -C "$library" 2>/dev/null | awk '$1 == "U" {$1 = ""; sub(/^ /, ""); print}' | grep -E "$forbidden_symbols"; then
  echo "decisions link a symbol of I/O, threads, clocks or randomness" >&2
  exit 1
fi
echo "decisions are pure"
