#!/usr/bin/env bash
# Compares requests through one daemon with requests sent directly to the engines, in one run:
# latency added to the first token, tokens relayed per second of processor time, memory with 5000
# open streams and when idle.
# usage: [RATE=N] measure_gateway.sh BUILD_DIR [SECONDS_PER_PHASE [PART...]]
# parts: first_token (N requests per second, default 85), relay, relay_paced, streams
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir=${1:?usage: measure_gateway.sh BUILD_DIR [SECONDS_PER_PHASE]}
seconds=${2:-20}
parts=("${@:3}")
[ "${#parts[@]}" -gt 0 ] || parts=(first_token relay relay_paced streams)
bin=$build_dir/bin
platform=127.0.8.2:8000
node=127.0.8.11
gateway=$node:8080
engines=127.0.8.101:8001,127.0.8.102:8001,127.0.8.103:8001,127.0.8.104:8001
logs=$(mktemp -d)
pids=()
daemon=
ulimit -n "$(ulimit -Hn)"

stop() {
  [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  pids=()
}
trap stop EXIT

fetch() {
  curl --silent --show-error --fail --max-time 10 --retry 60 --retry-delay 1 --retry-max-time 60 \
    --retry-all-errors "$@" 2>>"$logs/fetch.log"
}

# begin ENGINE_FLAGS...: starts a new platform, engines and daemon, and applies the fleet.
begin() {
  stop
  "$bin/cypresswall-platform-standin" --address $platform >"$logs/platform.log" 2>&1 &
  pids+=($!)
  local engine
  for engine in ${engines//,/ }; do
    "$bin/cypresswall-engine-standin" --addresses "$engine" --ledger_limit 1000 "$@" \
      >"$logs/engine-$engine.log" 2>&1 &
    pids+=($!)
  done
  "$bin/cypresswalld" --node_zone bench --node_region bench --node_machine node-1 \
    --node_peer_address $node:7000 --node_gateway_address $gateway --platform_object_api $platform \
    --platform_machine_list $platform --log_level warning >"$logs/daemon.log" 2>&1 &
  daemon=$!
  pids+=("$daemon")
  fetch "http://$gateway/readyz" >/dev/null
  "$bin/cypressctl" --server $gateway apply -f bench/fleets/one-node.yaml --wait >/dev/null
  # Wait until an engine serves.
  fetch "http://$gateway/v1/completions" -H 'Content-Type: application/json' \
    -d '{"model":"bench","prompt":"ready?","max_tokens":1}' >/dev/null
}

resident() { awk '/VmRSS/ {print $2 " kB"}' "/proc/$1/status"; }

measure_first_token() {
  begin
  echo "resident memory of the idle daemon: $(resident "$daemon")"
  # 4 engines x 32 streams, 12 ms + 0.4 ms per stream and step: a request of 60 prompt and 40 output
  # tokens occupies a stream slot for about 0.75 s at half load, so 85 per second use half of the
  # 128 slots.
  "$bin/cypresswall-bench" load --direct $engines --gateway $gateway --service bench \
    --mix short:1:60:40 --rate "${RATE:-85}" --rounds 3 --duration "$seconds" --watch daemon="$daemon"
}

# More tokens than one daemon can relay, so that its processor time is the limit. Tokens then queue
# in sockets, and one read and one write relay several of them.
measure_relay() {
  begin --maximum_streams 1000 --decode_step_base_us 8000 --decode_step_per_stream_us 0
  "$bin/cypresswall-bench" load --gateway $gateway --service bench --mix held:1:20:1000000 \
    --streams 800 --duration "$seconds" --drain 0 --threads 3 --watch daemon="$daemon"
}

# 20 tokens per second on each stream, below the limit: nearly every token takes a read and a write
# of its own, as in normal operation.
measure_relay_paced() {
  begin --maximum_streams 1000 --decode_step_base_us 50000 --decode_step_per_stream_us 0
  "$bin/cypresswall-bench" load --gateway $gateway --service bench --mix held:1:20:1000000 \
    --streams 1000 --duration "$seconds" --drain 0 --threads 3 --watch daemon="$daemon"
}

measure_streams() {
  begin --maximum_streams 5000 --decode_step_base_us 500000 --decode_step_per_stream_us 0
  "$bin/cypresswall-bench" load --gateway $gateway --service bench --mix held:1:20:1000000 \
    --streams 5000 --ramp 10 --duration "$seconds" --drain 0 --threads 2 --watch daemon="$daemon"
}

for part in "${parts[@]}"; do
  echo "== $part (load average of the machine: $(cut -d' ' -f1 /proc/loadavg))"
  "measure_$part"
done
rm -rf "$logs"
