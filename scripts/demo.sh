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

members_ready() { [ "$(ctl status | grep -c 'healthy true')" = "$AGENTS" ] && ctl status | grep -q 'shard 0 owned'; }
starts_in() { # starts_in DATA-CENTRE
  (exec 3<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}" && printf 'GET /recorder HTTP/1.0\r\n\r\n' >&3 && cat <&3) |
    tail -n 1 | grep -o "\"$1\":[0-9]*" | cut -d: -f2
}
violations() {
  (exec 3<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}" && printf 'GET /recorder HTTP/1.0\r\n\r\n' >&3 && cat <&3) |
    tail -n 1 | grep -o '"violations":[^,]*' | cut -d: -f2
}
finished_tasks() { ctl job "$1" --wait 20s | grep -o '"finished": [0-9]*' | grep -o '[0-9]*'; }

start platform bin/chervil-platform serve --address $PLATFORM --workers $AGENTS
entries="${ENTRY_GRPC[0]},${ENTRY_GRPC[1]}"
for i in 0 1; do
  start "entry-$i" bin/chervil-entry --name "entry-$((i + 1))" --http-address "${ENTRY_HTTP[$i]}" --grpc-address "${ENTRY_GRPC[$i]}" \
    --metrics-address "127.0.0.1:$((PORTS + 82 + i * 100))" --log-address $PLATFORM --drain-wait 200ms --data-centre "${CENTRES[$i]}"
done
for i in $(seq $AGENTS); do
  dc=${CENTRES[$(((i - 1) % 3))]}
  start "endpoint-$i" bin/chervil-platform endpoint --address "127.0.0.1:$((PORTS + 300 + i))" --name "endpoint-$i"
  start "agent-$i" bin/chervil-agent --name "agent-$i" --grpc-address "127.0.0.1:$((PORTS + 400 + i))" --metrics-address "127.0.0.1:$((PORTS + 500 + i))" \
    --log-address $PLATFORM --worker-address $PLATFORM --worker "worker-$i" --entries "$entries" --service quotedesk \
    --endpoint "127.0.0.1:$((PORTS + 300 + i))" --region pnw --data-centre "$dc"
done

if ! until_ok 50 members_ready || ! all_alive; then
  echo "the processes did not come up; logs: $logs"
  exit 1
fi
step "all agents announced, shard owned" 0 0
ctl table put deploy/cascade.csv >/dev/null; step "table written" 0 $?
ctl wait >/dev/null; step "table in force everywhere" 0 $?

answered=0
for i in $(seq $REQUESTS); do
  ctl request quotedesk --body "{\"work_ms\":5,\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
step "quick requests answered" $REQUESTS $answered

job=$(ctl submit deploy/layout-quote.json --key demo-1)
again=$(ctl submit deploy/layout-quote.json --key demo-1)
step "same key, same job" "$job" "$again"
step "batch tasks finished" 12 "$(finished_tasks "$job")"

ctl drain pnw-b >/dev/null; step "pnw-b out of service" 0 $?
ctl wait >/dev/null; step "drain in force everywhere" 0 $?
sleep 1
before=$(starts_in pnw-b)
job=$(ctl submit deploy/layout-quote.json --key demo-2)
step "batch tasks finished while pnw-b is out" 12 "$(finished_tasks "$job")"
step "starts in pnw-b while it is out" 0 $(($(starts_in pnw-b) - before))
answered=0
for i in $(seq 10); do
  ctl request quotedesk --body "{\"check\":$i}" | grep -q "check.*:$i}" && answered=$((answered + 1))
done
step "quick requests answered while pnw-b is out" 10 $answered
ctl restore pnw-b >/dev/null; step "pnw-b back in service" 0 $?
job=$(ctl submit deploy/layout-quote.json --key demo-3)
step "batch tasks finished after its return" 12 "$(finished_tasks "$job")"
step "promises broken at the workers" '[]' "$(violations)"

printf '%-42s %-14s %-14s %s\n' step expected got verdict
printf '%s\n' "${rows[@]}"
if [ $failed -ne 0 ]; then echo "logs: $logs"; fi
exit $failed
