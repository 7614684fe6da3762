#!/usr/bin/env bash
# Runs the soak test with injected faults: scripts/soak.sh SEED... runs each seed once, PARALLEL (default 4) at a
# time. Without arguments it runs 20 random seeds. Prints the counts of each seed and the violations found. Settings
# and logs of a seed with a violation are kept in soak-work/SEED. CYCLES (default 1), INSTANCES (default 3), RATE
# (default 60) and UPSTREAMS (default 4) are passed to briarwharf-soak, HOSTILE=1 as --hostile. DAEMON is the program
# under test (default: that of the build), such as target/bin/briarwharfd or one with sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
daemon=$(realpath "${DAEMON:-$bin/briarwharfd}")
seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  for _ in $(seq 20); do seeds+=("$((RANDOM * 32768 + RANDOM))"); done
fi
run_seed() {
  local work=soak-work/$1
  mkdir -p "$work"
  if "$bin/briarwharf-soak" --daemon "$daemon" --work "$work" --seed "$1" ${HOSTILE:+--hostile} \
    --cycles "${CYCLES:-1}" --instances "${INSTANCES:-3}" --rate "${RATE:-60}" \
    --upstreams "${UPSTREAMS:-4}" >"$work/result.txt" 2>&1; then
    cat "$work/result.txt"
    rm -rf "$work"
  else
    cat "$work/result.txt"
    return 1
  fi
}
export -f run_seed
export bin daemon
status=0
printf '%s\n' "${seeds[@]}" | xargs -P "${PARALLEL:-4}" -I{} bash -c 'run_seed {}' || status=1
rmdir soak-work 2>/dev/null || true
exit $status
