#!/usr/bin/env bash
# Demonstrates the whole request path on loopback: stand-ins for the store, three model engines and a booking
# service, and three instances that forward requests to them. Ends by itself; the exit status is 0 only if every
# observation succeeded. BASE_PORT (default 18600) is the first of about 30 ports; KEEP=1 keeps the work folder.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh >/dev/null

base_port=${BASE_PORT:-18600}
bin=$PWD/${BUILD_DIR:-build}/bin
pids=()

. scripts/demolib.sh
trap 'stop_all TERM' EXIT
start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
store_port=$base_port
service_port=$((base_port + 1))
engine_port() { echo $((base_port + 1 + $1)); }
caller_port() { echo $((base_port + 10 + $1)); }
admin_port() { echo $((base_port + 13 + $1)); }
peer_port() { echo $((base_port + 16 + $1)); }

operator_token=demo-operator-token
printf '%s' "$operator_token" >"$work/token"
key=demo-api-key-of-saqib

ctl() { "$bin/briarwharfctl" --server "127.0.0.1:$(admin_port "${CTL_INSTANCE:-1}")" --token-file "$work/token" "$@"; }
chat() { # chat INSTANCE CHAT BODY [CURL ARGUMENTS]
  local instance=$1 name=$2 body=$3
  shift 3
  curl -sS -m 60 -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -H "X-Briarwharf-Chat: $name" "$@" "http://127.0.0.1:$(caller_port "$instance")/v1/chat/completions" -d "$body"
}
body() { # body STREAM MAX_TOKENS TEXT
  printf '{"model":"estimator-1","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"%s"}]}' "$@"
}
header_of() { grep -i "^$1:" "$2" | head -1 | cut -d' ' -f2- | tr -d '\r'; }
submitted() { curl -sS "http://127.0.0.1:$(engine_port "$1")/stats" | grep -o '"submitted":[0-9]*' | cut -d: -f2; }
engine_of_request() { # prints the engine whose request count has changed since save_counts, or 0
  for i in 1 2 3; do
    if [ "$(submitted "$i")" != "$(cat "$work/submitted.$i")" ]; then
      echo "$i"
      return
    fi
  done
  echo 0
}
save_counts() { for i in 1 2 3; do submitted "$i" >"$work/submitted.$i"; done; }

step "start the stand-ins and three instances"
start store "$bin/standin-store" --port "$store_port"
for i in 1 2 3; do
  start "engine-$i" "$bin/standin-engine" --port "$(engine_port "$i")" --name "engine-$i" --model estimator-1
done
start service "$bin/standin-service" --port "$service_port" --name booking-desk
for i in 1 2 3; do
  cat >"$work/entry-$i.ini" <<INI
[instance]
id = entry-$i
region = pk-central
failure_domain = pkc-$(echo abc | cut -c"$i")
[listen]
callers = 127.0.0.1:$(caller_port "$i")
admin = 127.0.0.1:$(admin_port "$i")
peers = 127.0.0.1:$(peer_port "$i")
[store]
endpoint = 127.0.0.1:$store_port
[operator]
token_hash = $(printf '%s' "$operator_token" | sha256sum | cut -d' ' -f1)
[hint]
key = demo-hint-key-of-the-fleet
INI
  "$bin/briarwharfd" --check "$work/entry-$i.ini" >/dev/null
done
wait_for 10 curl -sf "http://127.0.0.1:$store_port/instances"
instances=$(for i in 1 2 3; do printf '{"id":"entry-%s","address":"127.0.0.1:%s","failure_domain":"pkc-%s"},' \
  "$i" "$(peer_port "$i")" "$(echo abc | cut -c"$i")"; done)
curl -sS -X POST "http://127.0.0.1:$store_port/instances" -d "[${instances%,}]" >/dev/null
for i in 1 2 3; do start "entry-$i" "$bin/briarwharfd" "$work/entry-$i.ini"; done
ready() { curl -sf "http://127.0.0.1:$(admin_port "$1")/readyz"; }
for i in 1 2 3; do observe "entry-$i is ready" wait_for 10 ready "$i"; done

step "the operator creates the organisation, pools and upstreams"
commands="CREATE ORGANISATION saqib KEY '$key';
CREATE POOL estimators KIND ENGINE MODEL 'estimator-1';
CREATE POOL booking-desk KIND SERVICE;"
for i in 1 2 3; do
  commands="$commands ADD UPSTREAM engine-$i POOL estimators ADDRESS 127.0.0.1:$(engine_port "$i") DOMAIN pkc-a;"
done
commands="$commands ADD UPSTREAM desk-1 POOL booking-desk ADDRESS 127.0.0.1:$service_port DOMAIN pkc-a REPORTS_STATE false"
observe "the commands were accepted" ctl "$commands"
has_model() { curl -sf -H "Authorization: Bearer $key" "http://127.0.0.1:$(caller_port "$1")/v1/models" | grep -q estimator-1; }
for i in 1 2 3; do observe "the configuration is in force at entry-$i" wait_for 4 has_model "$i"; done
sleep 1.5 # until the first load reports have arrived

step "a streamed chat answer through entry-1"
save_counts
chat 1 quote-7 "$(body true 8 'Estimate 40 square metres of terrazzo in Lahore with two cracks')" -D "$work/head" | tee "$work/stream"
observe "the stream was completed" grep -q '^data: \[DONE\]' "$work/stream"
observe "its outcome is completed" grep -q '^: outcome completed' "$work/stream"
first=$(engine_of_request)
hint=$(header_of X-Briarwharf-Residence "$work/head")

step "the same chat returns through entry-2, with its residence hint"
save_counts
chat 2 quote-7 "$(body false 8 'Estimate 40 square metres of terrazzo in Lahore with two cracks')" \
  -H "X-Briarwharf-Residence: $hint" | tee "$work/answer"
echo
second=$(engine_of_request)
cached=$(grep -o '"cached_tokens":[0-9]*' "$work/answer" | cut -d: -f2)
observe "engine-$first served both" [ "$first" = "$second" ]
observe "the engine counted $cached cached prompt tokens" [ "${cached:-0}" -gt 0 ]

step "a booking sent twice with one idempotency key, through two instances"
book() {
  curl -sS -m 20 -H "Authorization: Bearer $key" -H 'Idempotency-Key: booking-1' \
    "http://127.0.0.1:$(caller_port "$1")/v1/services/booking-desk/bookings" -d '{"job":"quote-7","deposit":5000}'
}
book 1 | tee "$work/booking-1"
echo
book 3 | tee "$work/booking-2"
echo
curl -sS "http://127.0.0.1:$service_port/runs" | tee "$work/runs"
echo
observe "both answers are equal" cmp -s "$work/booking-1" "$work/booking-2"
observe "the service ran it once" grep -q '"total":1[,}]' "$work/runs"

step "drain engine-$first while it serves a long request"
chat 1 quote-7 "$(body true 150 'Write the full estimate')" -H "X-Briarwharf-Residence: $hint" >"$work/long" &
long_pid=$!
sleep 1
observe "the drain was accepted" ctl "DRAIN UPSTREAM engine-$first"
sleep 3
save_counts
for i in 1 2 3; do chat "$i" quote-7 "$(body false 4 'And the price of one more crack')" -H "X-Briarwharf-Residence: $hint" >/dev/null; done
observe "new work goes to other engines" [ "$(submitted "$first")" = "$(cat "$work/submitted.$first")" ]
wait "$long_pid" || true
observe "the request in progress completed" grep -q '^: outcome completed' "$work/long"

step "the output of SHOW afterwards"
for i in 1 2 3; do CTL_INSTANCE=$i ctl "SHOW UPSTREAMS COLUMNS name, pool, state, reachable, load, requests"; done | tee "$work/show"
observe "engine-$first is draining at all three instances" [ "$(grep -c "engine-$first .*draining" "$work/show")" = 3 ]
ctl "SHOW INSTANCES"

step "graceful shutdown of entry-3"
kill -TERM "${pids[${#pids[@]} - 1]}"
wait_for 10 grep -q "stopped" "$work/entry-3.log" || true
observe "it stopped without cutting a request" grep -q "stopped; 0 requests were cut" "$work/entry-3.log"

finish demo
