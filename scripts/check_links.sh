#!/usr/bin/env bash
# Checks that every relative link in the Markdown pages names a file that exists.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
cd "$root"
broken=0
while IFS= read -r page; do
  while IFS= read -r target; do
    path="${target%%#*}"
    [ -z "$path" ] && continue
    if [ ! -e "$(dirname "$page")/$path" ]; then
      echo "$page: link to missing file $target" >&2
      broken=1
    fi
  done < <(grep -oE '\]\([^)]+\)' "$page" | sed -E 's/^\]\((.*)\)$/\1/' | grep -vE '^(https?:|mailto:|#)' || true)
done < <(git ls-files '*.md')
[ "$broken" -eq 0 ] && echo "documentation links resolve"
exit "$broken"
