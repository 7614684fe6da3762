#!/usr/bin/env bash
# Builds the programs that the scripts of review/6 to review/10 start, into build-review-2/. The daemon itself is
# built by the build command of deploy/system.toml, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "build-review-2/case-$number"
done
