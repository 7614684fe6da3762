#!/usr/bin/env bash
# Runs every fuzz target, or those in TARGETS, for SECONDS_EACH (default 20) seconds from its corpus, with
# clang's libFuzzer and the address and undefined-behaviour sanitizers. A finding stops the script and stays
# as a crash-* file in the build folder; add it to fuzz/corpus/<target>/ with the correction.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${FUZZ_BUILD_DIR:-build-fuzz}
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ -DBRIARWHARF_FUZZERS=ON >/dev/null
targets=()
for main in fuzz/*_main.cc; do
  name=$(basename "$main" _main.cc)
  targets+=("${name//_/-}")
done
cmake --build "$build_dir" --target "${targets[@]}"
for target in ${TARGETS:-"${targets[@]}"}; do
  corpus=$(mktemp -d)
  cp fuzz/corpus/"${target%-fuzz}"/* "$corpus"/
  echo "== $target"
  (cd "$build_dir" && bin/"$target" -max_total_time="${SECONDS_EACH:-20}" -seed=1 -print_final_stats=1 "$corpus" 2>&1 | tail -12)
  rm -rf "$corpus"
done
