#!/usr/bin/env bash
# Builds everything and runs all tests through ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j "$(nproc)"
