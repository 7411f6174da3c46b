#!/usr/bin/env bash
# Runs the whole system as plain processes on loopback: serves quick requests,
# runs a batch job, takes a data centre out and back, and prints what happened.
# Exits 0 only if every step went as promised.
set -u
cd "$(dirname "$0")/.."

# First of the 1,000 ports that the demo uses.
readonly PORTS=${DEMO_PORTS:-18000}
readonly CENTRES=(pnw-a pnw-b pnw-c)
readonly ENTRY_HTTP=("127.0.0.1:$((PORTS + 80))" "127.0.0.1:$((PORTS + 180))")
readonly ENTRY_GRPC=("127.0.0.1:$((PORTS + 81))" "127.0.0.1:$((PORTS + 181))")
readonly PLATFORM="127.0.0.1:$PORTS"
readonly AGENTS=6
readonly REQUESTS=30
logs=$(mktemp -d)
pids=()
failed=0
rows=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
}
trap finish EXIT

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

ctl() { bin/chervilctl --entry "${ENTRY_HTTP[0]},${ENTRY_HTTP[1]}" --operator demo "$@" 2>>"$logs/ctl.log"; }

step() { # step NAME EXPECTED GOT
  local verdict=ok
  if [ "$2" != "$3" ]; then verdict=MISS; failed=1; fi
  rows+=("$(printf '%-42s %-14s %-14s %s' "$1" "$2" "$3" "$verdict")")
}

until_ok() { # until_ok TRIES COMMAND...
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  return 1
}

# A process that could not start, such as on a port that is taken, would leave
# the demo talking to somebody else's.
all_alive() {
  for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null || return 1; done
}

members_ready() { [ "$(ctl status | grep -c 'healthy true')" = "$AGENTS" ]; }

# The workers' side of the system: the same programs, on the settings file that the
# platform provides. Each machine has an address of its own on loopback.
readonly SITE=127.78.0
readonly WORKERS=3
readonly STORE="$SITE.200:7001"
readonly CLIENTS="$SITE.101:8161"

machine() { # machine NAME ADDRESS DATA-CENTRE LINES...
  local file="$logs/$1.conf"
  printf '%s\n' "node=$1" "ip=$2" "zone=$3" region=pnw port-range=7720,7735 "seeds=$SITE.101:8166,$SITE.102:8166" \
    "platform.address=$STORE" limits.memory-mb=256 limits.cpu-share=0.5 "${@:4}" >"$file"
  echo "$file"
}

start_site() {
  start store bin/chervil-platform store --address "$STORE"
  for i in $(seq $WORKERS); do
    local ip="$SITE.$i"
    start "worker-$i" bin/chervil-platform worker --id "worker-$i" --address "$ip:8165" --agent "$ip:8166" --data-centre "${CENTRES[$((i - 1))]}"
    CHERVILRIDGE_NODE_FILE=$(machine "side-$i" "$ip" "${CENTRES[$((i - 1))]}" "listen.control=$ip:8166" "app=$ip:8165" backend=quotedesk) \
      start "side-$i" bin/chervil-agent
  done
  for i in 1 2; do
    local ip="$SITE.10$i"
    CHERVILRIDGE_NODE_FILE=$(machine "edge-$i" "$ip" "${CENTRES[$((i - 1))]}" "listen.front=$ip:8161" "listen.ready=$ip:8167" "listen.control=$ip:8166") \
      start "edge-$i" bin/chervil-entry
  done
}

job() { # job VERB ARGUMENTS...
  bin/chervilctl job --at "$CLIENTS" --queue-host fitters.example --queue-prefix /quotes/ "$@" 2>>"$logs/ctl.log"
}

configure() { # configure KEY FILE: writes an operator's record to the store
  (exec 3<>"/dev/tcp/${STORE%:*}/${STORE#*:}" && printf 'PUT /standin/records?topic=keyed.op&key=%s HTTP/1.0\r\nContent-Length: %s\r\n\r\n' \
    "$1" "$(wc -c <"$2")" >&3 && cat "$2" >&3 && cat <&3) >/dev/null
}

start platform bin/chervil-platform serve --address $PLATFORM
entries="${ENTRY_GRPC[0]},${ENTRY_GRPC[1]}"
for i in 0 1; do
  start "entry-$i" bin/chervil-entry --name "entry-$((i + 1))" --http-address "${ENTRY_HTTP[$i]}" --grpc-address "${ENTRY_GRPC[$i]}" \
    --metrics-address "127.0.0.1:$((PORTS + 82 + i * 100))" --log-address $PLATFORM --drain-wait 200ms --data-centre "${CENTRES[$i]}"
done
for i in $(seq $AGENTS); do
  dc=${CENTRES[$(((i - 1) % 3))]}
  start "endpoint-$i" bin/chervil-platform endpoint --address "127.0.0.1:$((PORTS + 300 + i))" --name "endpoint-$i"
  start "agent-$i" bin/chervil-agent --name "agent-$i" --grpc-address "127.0.0.1:$((PORTS + 400 + i))" --metrics-address "127.0.0.1:$((PORTS + 500 + i))" \
    --log-address $PLATFORM --entries "$entries" --service quotedesk \
    --endpoint "127.0.0.1:$((PORTS + 300 + i))" --region pnw --data-centre "$dc"
done

if ! until_ok 50 members_ready || ! all_alive; then
  echo "the processes did not come up; logs: $logs"
  exit 1
fi
step "all agents announced" 0 0
ctl table put deploy/cascade.csv >/dev/null; step "table written" 0 $?
ctl wait >/dev/null; step "table in force everywhere" 0 $?

answered=0
for i in $(seq $REQUESTS); do
  ctl request quotedesk --body "{\"work_ms\":5,\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
step "quick requests answered" $REQUESTS $answered

ctl drain pnw-b >/dev/null; step "pnw-b out of service" 0 $?
ctl wait >/dev/null; step "drain in force everywhere" 0 $?
answered=0
for i in $(seq 10); do
  ctl request quotedesk --body "{\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
step "quick requests answered while pnw-b is out" 10 $answered
ctl restore pnw-b >/dev/null; step "pnw-b back in service" 0 $?

start_site
until_ok 50 configure config deploy/demo-config.json
step "a queue is configured" 0 $?
until_ok 100 job submit 00000000000000a1 deploy/layout-quote.json
step "a job is accepted" 0 $?
step "the job ends" completed "$(job state 00000000000000a1 --wait 20s)"
job submit 00000000000000a1 deploy/layout-quote.json >/dev/null
step "the same id is the same job" completed "$(job state 00000000000000a1)"
job submit 00000000000000a2 deploy/layout-quote.json >/dev/null
step "a job is cancelled" "cancelled 00000000000000a2" "$(job cancel 00000000000000a2)"
step "it stays so" cancelled "$(job state 00000000000000a2)"
step "no job waits" 0 "$(job pending)"

printf '%-42s %-14s %-14s %s\n' step expected got verdict
printf '%s\n' "${rows[@]}"
if [ $failed -ne 0 ]; then echo "logs: $logs"; fi
exit $failed
