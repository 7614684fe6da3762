#!/usr/bin/env bash
# Configures and builds everything. BUILD_DIR names the build folder (default: build); further
# arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja "$@" >/dev/null
cmake --build "$build_dir"
