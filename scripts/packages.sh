#!/usr/bin/env bash
# Installs the Debian packages that the build, the checks and the tests need, if any are missing.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev spin curl
  libevent-dev libevhtp-dev libssl-dev zlib1g-dev libflatbuffers-dev prometheus-cpp-dev
  libboost-dev libboost-program-options-dev libspdlog-dev libhttp-parser-dev libinih-dev libxxhash-dev
  nlohmann-json3-dev doctest-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
echo "packages: installing ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
