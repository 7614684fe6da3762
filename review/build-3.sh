#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with their stand-ins, into target/review-3. Needs g++ and
# nlohmann-json3-dev, which are among the packages of deploy/system.toml. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$case"
done
