#!/usr/bin/env bash
# Configures and builds all targets. BUILD_DIR is the build folder (default: build). The arguments are passed to
# cmake when it configures.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD_DIR:-build}
cmake -S . -B "$build_dir" -G Ninja "$@" >/dev/null
cmake --build "$build_dir"
