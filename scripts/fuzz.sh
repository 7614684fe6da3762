#!/usr/bin/env bash
# Runs all fuzz targets, or those in TARGETS, for SECONDS_EACH (default 20) seconds each, starting from their
# corpus, with clang's libFuzzer and the address and undefined-behaviour sanitizers. An input that fails stops the
# script and is kept as a crash-* file in the build folder; add it to fuzz/corpus/<target>/ in the commit that
# corrects the fault.
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
