#!/usr/bin/env bash
# Installs every package that masticshunt needs to build, test and lint.
# Called by the Makefile and by .ci/run; this is the only place that names packages.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache make git binutils
  libboost1.81-dev libwebsocketpp-dev libdocopt-dev libspdlog-dev libcriterion-dev
  nlohmann-json3-dev libxxhash-dev librapidcheck-dev
  clang-format clang-tidy-16
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

runner=()
[ "$(id -u)" -eq 0 ] || runner=(sudo)
"${runner[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${runner[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
