# Functions that both demos use: the work folder, stopping the started processes, steps and observations. The demos
# add the ids of the processes that they start to the array `pids`.
work=$(mktemp -d)
failures=0

stop_all() { # stop_all SIGNAL: ends the processes in `pids` and removes the work folder
  for pid in "${pids[@]}"; do kill "-$1" "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}
step() { printf '\n== %s\n' "$1"; }
observe() { # observe DESCRIPTION COMMAND...: runs the command and counts a failure if it fails
  local description=$1
  shift
  if "$@"; then echo "observed: $description"; else
    echo "NOT OBSERVED: $description"
    failures=$((failures + 1))
  fi
}
wait_for() { # wait_for SECONDS COMMAND...: repeats the command until it succeeds or the time is up
  local tries=$(($1 * 10))
  shift
  for ((i = 0; i < tries; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  return 1
}
finish() { # finish NAME: prints the result; exits with 1 if an observation failed
  printf '\n'
  if [ "$failures" -gt 0 ]; then
    echo "$1: $failures steps were not observed"
    KEEP=1
    echo "logs: $work"
    exit 1
  fi
  echo "$1: every step was observed"
}
