#!/usr/bin/env bash
# Demonstrates three instances with the platform's stand-in on loopback: forwarded routes, a configuration change,
# a draining upstream, a resumed stream, and a restart while the store is unreachable. Ends by itself; the exit
# status is 0 only if every observation succeeded. BASE_PORT (default 19600) is the first of about 40 ports; KEEP=1
# keeps the work folder.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh >/dev/null

base_port=${BASE_PORT:-19600}
bin=$PWD/${BUILD_DIR:-build}/bin
declare -A pids

. scripts/demolib.sh
trap 'stop_all KILL' EXIT
start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

store_port() { echo $((base_port + $1)); }
caller_port() { echo $((base_port + 10 + $1)); }
admin_port() { echo $((base_port + 15 + $1)); }
upstream_port() { echo $((base_port + 20 + $1)); }
peer_port=$((base_port + 30))

start_instance() {
  cat >"$work/entry-$1.ini" <<INI
[instance]
id = entry-$1
failure_domain = a
[listen]
callers = 127.0.0.1:$(caller_port "$1")
admin = 127.0.0.1:$(admin_port "$1")
peers = 127.0.0.$1:$peer_port
[store]
endpoint = 127.0.0.1:$(store_port "$1")
[directory]
source = platform
[fleet]
seeds = 127.0.0.1:$peer_port,127.0.0.2:$peer_port
[limits]
shutdown_grace_ms = 8s
INI
  start "entry-$1" "$bin/briarwharfd" "$work/entry-$1.ini"
}
start_upstream() { # start_upstream NUMBER SERVICE [OPTIONS]
  local number=$1 service=$2
  shift 2
  start "upstream-$number" "$bin/standin-upstream" --port "$(upstream_port "$number")" --id "i-$number" \
    --store "127.0.0.1:$(store_port 4)" --service "$service" "$@"
}
put_config() { # put_config METHOD PATH VERSION SERVICE: writes the configuration; SERVICE is that of the route /call/
  local route='"Host":"desk.example","TimeoutMs":10000,"TargetLatencyMs":500,"MaxAttempts":2,"Priority":0'
  curl -sS -o /dev/null -X "$1" "http://127.0.0.1:$(store_port 4)/objects/config$2" -d "{\"Metadata\":{\"Name\":\"main\"},\"Spec\":{
    \"Version\":$3,\"Routes\":[
      {\"Name\":\"call\",$route,\"PathPrefix\":\"/call/\",\"Kind\":\"safe\",\"Service\":\"$4\"},
      {\"Name\":\"stream\",$route,\"PathPrefix\":\"/stream/\",\"Kind\":\"streaming\",\"Resumable\":true,\"GapAimMs\":400,\"Service\":\"models\"}],
    \"Services\":[{\"Name\":\"models\",\"MaxConnections\":100},{\"Name\":\"other\",\"MaxConnections\":100}],
    \"Tenants\":[{\"Name\":\"saqib\",\"ApiKeys\":[\"key-1\"]}],
    \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1048576,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}"
}
faults() { curl -sS -o /dev/null -X POST "http://127.0.0.1:$(store_port 4)/faults" -d "$1"; }
call() { # call INSTANCE PATH [KEY]: prints the body of the answer
  curl -sS -m 20 -H 'Host: desk.example' -H "X-Request-Id: demo-$RANDOM$RANDOM" -H "Api-Key: ${3:-key-1}" \
    -H 'X-Deadline-Ms: 10000' "http://127.0.0.1:$(caller_port "$1")$2"
}
status() { # status INSTANCE PATH [KEY]: prints the status code of the answer
  curl -sS -m 20 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' -H "X-Request-Id: demo-$RANDOM$RANDOM" \
    -H "Api-Key: ${3:-key-1}" -H 'X-Deadline-Ms: 10000' "http://127.0.0.1:$(caller_port "$1")$2"
}
ready() { curl -sf "http://127.0.0.1:$(admin_port "$1")/readyz"; }
served_by() { call "$1" /call/x | grep -q "^$2 "; }
shows() { curl -s "http://127.0.0.1:$(admin_port "$1")/show/$2" | grep -q "$3"; }

step "three instances start before there is a configuration"
start platform "$bin/standin-platform" --port "$base_port" --machines 5
sleep 0.3
for i in 1 2 3; do start_instance "$i"; done
sleep 1
observe "no instance is ready" bash -c "! curl -sf http://127.0.0.1:$(admin_port 1)/readyz >/dev/null"
observe "a request is refused as not run, not as unknown" [ "$(status 1 /call/x)" = 503 ]

step "the operator writes the configuration, and upstreams register"
start_upstream 1 models --break-after 6
start_upstream 2 models
start_upstream 3 other
put_config POST "" 1 models
for i in 1 2 3; do observe "entry-$i is ready" wait_for 10 ready "$i"; done
for i in 1 2 3; do observe "entry-$i lists the upstreams" wait_for 5 shows "$i" upstreams i-3; done
observe "a call is answered" bash -c "[ -n '$(call 2 /call/hello)' ]"
observe "an unknown key is rejected with 401" [ "$(status 2 /call/x wrong)" = 401 ]
observe "an unknown route is rejected with 404" [ "$(status 2 /nothing/x)" = 404 ]

step "a stream breaks in the middle of an event and is continued at another upstream"
resumed() { grep -q '"verdict":"resume"' "$work"/entry-*.log; }
for try in 1 2 3 4 5 6; do
  call $(((try - 1) % 3 + 1)) /stream/long >"$work/stream"
  if [ "$(grep -c '^id: ' "$work/stream")" != 20 ]; then break; fi
  if resumed; then break; fi
done
observe "a stream was continued" wait_for 2 resumed
observe "the caller has 20 events, each once" [ "$(grep '^id: ' "$work/stream" | sort -u | wc -l)" = 20 ]

step "a new configuration moves a route"
put_config PUT /main 2 other
for i in 1 2 3; do observe "entry-$i sends the route to the other service" wait_for 3 served_by "$i" i-3; done

step "an upstream drains while it serves a stream"
put_config PUT /main 3 models
for i in 1 2 3; do wait_for 3 bash -c "curl -s http://127.0.0.1:$(admin_port "$i")/show/routes | grep -q '\"routing_version\":3'"; done
call 1 /stream/long >"$work/leaving" &
stream_pid=$!
sleep 0.3
kill -TERM "${pids[upstream-2]}"
for i in 1 2 3; do observe "entry-$i sees it draining" wait_for 3 shows "$i" upstreams '"draining":true'; done
for i in 1 2 3; do observe "entry-$i sends nothing there" served_by "$i" i-1; done
wait "$stream_pid"
observe "the stream in progress was completed" [ "$(grep -c '^id: ' "$work/leaving")" = 20 ]

step "the store refuses one machine, and a change reaches it through its peers"
faults "{\"refused_ports\":[$(store_port 3)]}"
put_config PUT /main 4 other
observe "entry-3 applies the change" wait_for 5 served_by 3 i-3

step "the store drops its history"
faults '{"drop_history":true}'
put_config PUT /main 5 models
observe "entry-1 applies the next change" wait_for 5 served_by 1 i-1

step "an instance is killed and restarts while the store is unreachable"
faults '{"down":true}'
kill -KILL "${pids[entry-2]}"
start_instance 2
observe "entry-2 becomes ready with the configuration of its peers" wait_for 6 ready 2
observe "it serves requests" wait_for 2 served_by 2 i-1
faults '{}'

step "graceful shutdown of entry-3"
kill -TERM "${pids[entry-3]}"
observe "it immediately reports that it is not ready" wait_for 1 bash -c "! curl -sf http://127.0.0.1:$(admin_port 3)/readyz"
stopped() { grep -q '"event":"stopped","cut":0' "$work/entry-3.log"; }
observe "it stops without cutting a request" wait_for 9 stopped

finish demo-platform
