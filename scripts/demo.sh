#!/usr/bin/env bash
# Runs the whole system as plain processes on loopback: sends requests, takes a data
# centre out of service and restores it, runs a batch job, and prints the result of each
# step. Exits with 0 only if every step gave the expected result.
set -u
cd "$(dirname "$0")/.."

# First of the 1,000 consecutive ports that the demo uses.
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

check_step() { # check_step NAME EXPECTED ACTUAL: adds a row to the result table
  local result=ok
  if [ "$2" != "$3" ]; then result=FAILED; failed=1; fi
  rows+=("$(printf '%-42s %-14s %-14s %s' "$1" "$2" "$3" "$result")")
}

retry() { # retry TRIES COMMAND...: runs the command until it succeeds, 0.2 s apart
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  return 1
}

# Checks that no process has exited. If one could not start, for example because its port is
# taken, the demo would talk to a foreign process on that port.
all_alive() {
  for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null || return 1; done
}

# Checks that all agents are registered and healthy.
agents_ready() { [ "$(ctl status | grep -c 'healthy true')" = "$AGENTS" ]; }

# The job scheduler: the same programs, configured by a settings file as the platform
# provides it on each instance. Each instance has its own loopback address.
readonly SUBNET=127.78.0
readonly WORKERS=3
readonly STORE_ADDRESS="$SUBNET.200:7001"
readonly JOB_ADDRESS="$SUBNET.101:8161"

# Writes the settings file of an instance and prints its path.
write_settings() { # write_settings NAME ADDRESS DATA-CENTRE LINES...
  local file="$logs/$1.conf"
  printf '%s\n' "node=$1" "ip=$2" "zone=$3" region=pnw port-range=7720,7735 "seeds=$SUBNET.101:8166,$SUBNET.102:8166" \
    "platform.address=$STORE_ADDRESS" limits.memory-mb=256 limits.cpu-share=0.5 "${@:4}" >"$file"
  echo "$file"
}

start_job_scheduler() {
  start store bin/chervil-platform store --address "$STORE_ADDRESS"
  for i in $(seq $WORKERS); do
    local ip="$SUBNET.$i"
    start "worker-$i" bin/chervil-platform worker --id "worker-$i" --address "$ip:8165" --agent "$ip:8166" --data-centre "${CENTRES[$((i - 1))]}"
    CHERVILRIDGE_NODE_FILE=$(write_settings "side-$i" "$ip" "${CENTRES[$((i - 1))]}" "listen.control=$ip:8166" "app=$ip:8165" backend=quotedesk) \
      start "side-$i" bin/chervil-agent
  done
  for i in 1 2; do
    local ip="$SUBNET.10$i"
    CHERVILRIDGE_NODE_FILE=$(write_settings "edge-$i" "$ip" "${CENTRES[$((i - 1))]}" "listen.front=$ip:8161" "listen.ready=$ip:8167" "listen.control=$ip:8166") \
      start "edge-$i" bin/chervil-entry
  done
}

job() { # job VERB ARGUMENTS...
  bin/chervilctl job --at "$JOB_ADDRESS" --queue-host fitters.example --queue-prefix /quotes/ "$@" 2>>"$logs/ctl.log"
}

configure() { # configure KEY FILE: writes an operator record to the store
  (exec 3<>"/dev/tcp/${STORE_ADDRESS%:*}/${STORE_ADDRESS#*:}" && printf 'PUT /standin/records?topic=keyed.op&key=%s HTTP/1.0\r\nContent-Length: %s\r\n\r\n' \
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

if ! retry 50 agents_ready || ! all_alive; then
  echo "a process exited or not all agents became healthy; logs: $logs"
  exit 1
fi
check_step "all agents registered" 0 0
ctl table put deploy/cascade.csv >/dev/null; check_step "table written" 0 $?
ctl wait >/dev/null; check_step "table in effect everywhere" 0 $?

answered=0
for i in $(seq $REQUESTS); do
  ctl request quotedesk --body "{\"work_ms\":5,\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
check_step "requests answered" $REQUESTS $answered

ctl drain pnw-b >/dev/null; check_step "pnw-b out of service" 0 $?
ctl wait >/dev/null; check_step "drain in effect everywhere" 0 $?
answered=0
for i in $(seq 10); do
  ctl request quotedesk --body "{\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
check_step "requests answered while pnw-b is out" 10 $answered
ctl restore pnw-b >/dev/null; check_step "pnw-b back in service" 0 $?

start_job_scheduler
retry 50 configure config deploy/demo-config.json
check_step "queue configured" 0 $?
retry 100 job submit 00000000000000a1 deploy/layout-quote.json
check_step "job accepted" 0 $?
check_step "job state after its end" completed "$(job state 00000000000000a1 --wait 20s)"
job submit 00000000000000a1 deploy/layout-quote.json >/dev/null
check_step "job state after a repeated submission" completed "$(job state 00000000000000a1)"
job submit 00000000000000a2 deploy/layout-quote.json >/dev/null
check_step "job cancelled" "cancelled 00000000000000a2" "$(job cancel 00000000000000a2)"
check_step "state of the cancelled job" cancelled "$(job state 00000000000000a2)"
check_step "pending jobs" 0 "$(job pending)"

printf '%-42s %-14s %-14s %s\n' step expected actual result
printf '%s\n' "${rows[@]}"
if [ $failed -ne 0 ]; then echo "logs: $logs"; fi
exit $failed
