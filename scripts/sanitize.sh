#!/usr/bin/env bash
# Builds all targets with the address and undefined-behaviour sanitizers and runs all tests. Leak detection is off
# because libevhtp never frees its parser tables.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
export BUILD_DIR=${BUILD_DIR:-build-sanitize}
export ASAN_OPTIONS=detect_leaks=0
scripts/build.sh -DBRIARWHARF_SANITIZE=ON
ctest --test-dir "$BUILD_DIR" --output-on-failure -j "${JOBS:-4}"
