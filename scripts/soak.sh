#!/usr/bin/env bash
# Runs the soak test with injected faults: scripts/soak.sh SEED... runs each seed once, PARALLEL (default 4) at a
# time. Without arguments it runs 20 random seeds. Prints the counts of each seed and the violations found. Settings
# and logs of a seed with a violation are kept in soak-work/SEED. CYCLES (default 1) and INSTANCES (default 3) are
# passed to briarwharf-soak.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  for _ in $(seq 20); do seeds+=("$((RANDOM * 32768 + RANDOM))"); done
fi
run_seed() {
  local work=soak-work/$1
  mkdir -p "$work"
  if "$bin/briarwharf-soak" --daemon "$bin/briarwharfd" --work "$work" --seed "$1" \
    --cycles "${CYCLES:-1}" --instances "${INSTANCES:-3}" >"$work/result.txt" 2>&1; then
    cat "$work/result.txt"
    rm -rf "$work"
  else
    cat "$work/result.txt"
    return 1
  fi
}
export -f run_seed
export bin
status=0
printf '%s\n' "${seeds[@]}" | xargs -P "${PARALLEL:-4}" -I{} bash -c 'run_seed {}' || status=1
rmdir soak-work 2>/dev/null || true
exit $status
