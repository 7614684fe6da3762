#!/usr/bin/env bash
# The fault soak: scripts/soak.sh SEED... plays each seed once, PARALLEL (default 4) at a time. Without seeds, 20
# fresh ones. Prints a line for each; settings and logs of seeds that broke a promise stay in soak-work/SEED.
# CYCLES (default 1) and INSTANCES (default 3) as briarwharf-soak has them.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/${BUILD_DIR:-build}/bin
seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  for _ in $(seq 20); do seeds+=("$((RANDOM * 32768 + RANDOM))"); done
fi
play() {
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
export -f play
export bin
status=0
printf '%s\n' "${seeds[@]}" | xargs -P "${PARALLEL:-4}" -I{} bash -c 'play {}' || status=1
rmdir soak-work 2>/dev/null || true
exit $status
