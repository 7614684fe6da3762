#!/usr/bin/env bash
# Checks the formatting and runs clang-tidy. With --fix it only reformats the files. Generated files (*_generated.h)
# are left out. Further arguments limit the check to the given files.
set -euo pipefail
cd "$(dirname "$0")/.."
fix=false
if [ "${1:-}" = --fix ]; then
  fix=true
  shift
fi
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cc' '*.h' | grep -v '_generated\.h$')
fi
if $fix; then
  clang-format -i "${files[@]}"
  exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
build_dir=${BUILD_DIR:-build}
[ -f "$build_dir/compile_commands.json" ] || cmake -S . -B "$build_dir" -G Ninja >/dev/null
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' | grep -v '^fuzz/')
printf '%s\0' "${sources[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build_dir" 2>/dev/null
