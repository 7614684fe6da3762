#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out/. The fleet itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in [1-5]/case.cpp; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "out/case-${source%%/*}"
done
