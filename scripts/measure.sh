#!/usr/bin/env bash
# Repeats the measurements: cache reuse while engines join and leave, load skew, control traffic, decision time,
# claims, and the data path's throughput and added latency compared with a direct call to the same engine. Seeds are
# fixed and printed. The arguments select measurements: placement membership claims datapath tokens streams control
# (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
bin=$PWD/${BUILD_DIR:-build}/bin
measurements=("$@")
[ "${#measurements[@]}" -gt 0 ] || measurements=(placement membership claims datapath tokens streams control)
base_port=${BASE_PORT:-18700}
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

run() { # run COMMAND...: prints and runs the command
  printf '\n$ %s\n' "$*" | sed "s#$bin/##g; s#$work/##g"
  "$@"
}

# write_settings NUMBER: writes the settings file of an instance.
write_settings() {
  cat >"$work/entry-$1.ini" <<INI
[instance]
id = entry-$1
failure_domain = $(echo abcd | cut -c$((($1 - 1) % 4 + 1)))
[listen]
callers = 127.0.0.1:$((base_port + 100 + $1))
admin = 127.0.0.1:$((base_port + 120 + $1))
peers = 127.0.0.1:$((base_port + 140 + $1))
[store]
endpoint = 127.0.0.1:$base_port
[operator]
token_hash = $(printf '%s' measure-token | sha256sum | cut -d' ' -f1)
[hint]
key = measure-hint-key-of-fleet
[limits]
max_connections = 50000
INI
}
ctl() { "$bin/briarwharfctl" --server "127.0.0.1:$((base_port + 121))" --token-file "$work/token" "$@"; }
start_daemon() {
  write_settings "$1"
  "$bin/briarwharfd" "$work/entry-$1.ini" >"$work/entry-$1.log" 2>&1 &
  pids+=($!)
}
wait_ready() {
  for _ in $(seq 100); do
    curl -sf "http://127.0.0.1:$((base_port + 120 + $1))/readyz" >/dev/null && return 0
    sleep 0.1
  done
  return 1
}

# measure_control [RATE]: starts nine instances, twelve engines and four services and prints the control traffic of
# each instance after 30 s. With RATE, each of ten organisations sends RATE requests per second, and bookings are sent
# as well, BOOKINGS (default 0.5) per second; without RATE there is no traffic.
measure_control() {
  printf '%s' measure-token >"$work/token"
  "$bin/standin-store" --port "$base_port" >/dev/null 2>&1 & pids+=($!)
  local list="" commands="CREATE ORGANISATION org-1 KEY 'measure-api-key-of-org-1' TOKENS_PER_SECOND 100000"
  for i in $(seq 2 10); do commands="$commands; CREATE ORGANISATION org-$i KEY 'measure-api-key-of-org-$i' TOKENS_PER_SECOND 100000"; done
  commands="$commands; CREATE POOL models KIND ENGINE MODEL 'model-1'; CREATE POOL desk KIND SERVICE"
  for i in $(seq 12); do
    "$bin/standin-engine" --port $((base_port + 10 + i)) --model model-1 >/dev/null 2>&1 & pids+=($!)
    commands="$commands; ADD UPSTREAM engine-$i POOL models ADDRESS 127.0.0.1:$((base_port + 10 + i)) DOMAIN a"
  done
  for i in $(seq 4); do
    "$bin/standin-service" --port $((base_port + 30 + i)) >/dev/null 2>&1 & pids+=($!)
    commands="$commands; ADD UPSTREAM desk-$i POOL desk ADDRESS 127.0.0.1:$((base_port + 30 + i)) DOMAIN a REPORTS_STATE false"
  done
  for i in $(seq 9); do
    list="$list{\"id\":\"entry-$i\",\"address\":\"127.0.0.1:$((base_port + 140 + i))\",\"failure_domain\":\"$(echo abcd | cut -c$(((i - 1) % 4 + 1)))\"},"
  done
  sleep 0.5
  curl -sS -X POST "http://127.0.0.1:$base_port/instances" -d "[${list%,}]" >/dev/null
  for i in $(seq 9); do start_daemon "$i"; done
  for i in $(seq 9); do wait_ready "$i"; done
  ctl "$commands" >/dev/null
  local load_pid=""
  if [ -n "${1:-}" ]; then
    local targets=()
    for i in $(seq 9); do targets+=(--target "127.0.0.1:$((base_port + 100 + i))"); done
    local organisations=()
    for i in $(seq 10); do organisations+=(--organisation "name=org-$i,key=measure-api-key-of-org-$i,rate=$1"); done
    "$bin/briarwharf-load" --model model-1 "${targets[@]}" "${organisations[@]}" --seed 1 --duration-s 35 \
      --service-pool desk --service-rate "${BOOKINGS:-0.5}" >"$work/load.txt" 2>&1 &
    load_pid=$!
  fi
  sleep 30
  for i in $(seq 9); do
    printf 'entry-%s: %s\n' "$i" "$(curl -s "http://127.0.0.1:$((base_port + 120 + i))/metrics" |
      awk '/^briarwharf_control_sent_bytes_per_second/ { sent = $2 }
        /^briarwharf_control_bytes_per_second/ { both = $2 }
        END { print sent " B/s sent, " both " B/s in both directions" }')"
  done
  curl -s "http://127.0.0.1:$((base_port + 121))/metrics" | grep -E '^briarwharf_control_bytes\{|^briarwharf_store_calls|^briarwharf_peer_frame_bytes'
  if [ -n "$load_pid" ]; then
    wait "$load_pid" || true
    cat "$work/load.txt"
  fi
}

# start_fleet TOKENS_PER_SECOND: starts the stand-ins of the store and of a fast engine that streams at
# this rate, and one instance, all as ordinary processes on this machine.
start_fleet() {
  local token=measure-token key=measure-api-key-of-org
  printf '%s' "$token" >"$work/token"
  "$bin/standin-store" --port "$base_port" >/dev/null 2>&1 & pids+=($!)
  "$bin/standin-engine" --port $((base_port + 1)) --name engine-1 --model model-1 --tokens-per-second 2000000 \
    --stream-tokens-per-second "$1" --prefill-tokens-per-second 100000000 --max-batch 100000 --max-queue 100000 \
    --tick-ms 1 >/dev/null 2>&1 & pids+=($!)
  start_daemon 1
  daemon_pid=${pids[${#pids[@]} - 1]}
  wait_ready 1
  ctl "CREATE ORGANISATION org KEY '$key'; CREATE POLICY wide QUEUE_DEADLINE 30s; CREATE POOL models KIND ENGINE MODEL 'model-1' POLICY wide; ADD UPSTREAM engine-1 POOL models ADDRESS 127.0.0.1:$((base_port + 1)) DOMAIN a SLOTS 20000" >/dev/null
  sleep 2
}

cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"; }
resident_kib() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

for measurement in "${measurements[@]}"; do
  case $measurement in
  placement)
    for scenario in steady churn drain surge; do run "$bin/placement-bench" --scenario "$scenario" --seed 1; done
    run "$bin/placement-bench" --scenario decision --seed 1
    ;;
  membership)
    run "$bin/membership-bench" --seed 1
    ;;
  claims)
    if [ -x "$bin/claim-bench" ]; then run "$bin/claim-bench"; fi
    ;;
  datapath)
    start_fleet 1000000
    load=(--model model-1 --organisation "name=org,key=measure-api-key-of-org,rate=${RATE:-400}" --seed 1 --duration-s 10 --short-answer-tokens 4
      --long-share 0 --stream-share 0 --turns 2 --pause-s 0.2)
    echo "== direct to the engine"
    run "$bin/briarwharf-load" "${load[@]}" --direct --target "127.0.0.1:$((base_port + 1))"
    echo "== through one instance"
    before=$(cpu_ms "$daemon_pid")
    run "$bin/briarwharf-load" "${load[@]}" --target "127.0.0.1:$((base_port + 101))"
    echo "processor time of the instance: $(($(cpu_ms "$daemon_pid" | cut -d. -f1) - ${before%.*})) ms"
    stop_all
    ;;
  tokens)
    start_fleet 500
    load=(--model model-1 --organisation "name=org,key=measure-api-key-of-org,rate=${RATE:-20}" --seed 1 --duration-s 10
      --short-answer-tokens 500 --long-share 0 --stream-share 1 --turns 1)
    echo "== direct to the engine"
    run "$bin/briarwharf-load" "${load[@]}" --direct --target "127.0.0.1:$((base_port + 1))"
    echo "== through one instance"
    before=$(cpu_ms "$daemon_pid")
    run "$bin/briarwharf-load" "${load[@]}" --target "127.0.0.1:$((base_port + 101))"
    echo "processor time of the instance: $(($(cpu_ms "$daemon_pid" | cut -d. -f1) - ${before%.*})) ms"
    stop_all
    ;;
  streams)
    start_fleet 1
    before=$(resident_kib "$daemon_pid")
    "$bin/briarwharf-load" --model model-1 --organisation name=org,key=measure-api-key-of-org,rate=1 --open-streams "${STREAMS:-2000}" \
      --open-rate 500 --open-stream-tokens 600 --duration-s 15 --target "127.0.0.1:$((base_port + 101))" --quiet --json "$work/streams.json" &
    load_pid=$!
    sleep 12
    after=$(resident_kib "$daemon_pid")
    echo "resident memory of the instance: $before KiB before, $after KiB with ${STREAMS:-2000} open streams"
    wait "$load_pid" || true
    cat "$work/streams.json"
    stop_all
    ;;
  control)
    echo "== nine instances without traffic"
    measure_control
    stop_all
    echo "== nine instances, ten organisations with one request a second each, ${BOOKINGS:-0.5} bookings a second"
    measure_control 1
    stop_all
    ;;
  *)
    echo "unknown measurement $measurement: placement, membership, claims, datapath, tokens, streams or control" >&2
    exit 2
    ;;
  esac
done
