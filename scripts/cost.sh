#!/usr/bin/env bash
# Measures the latency that the entry and the endpoint process add to a streamed
# call, compared with direct calls to the same engine, on loopback addresses.
#
# Usage: scripts/cost.sh [RATE [DURATION]]     Default: 500 requests per second for 10s.
#
# Needs bash, curl and coreutils. Writes the result to compare.json. Exits with 3 if
# the added time to first token exceeds the guaranteed limit.
# Logs and results are kept in out/cost, or in DEMO_OUT. COST_LIMITER selects the
# gate's limiter (none disables the gate), COST_WARM is the duration of the warm-up
# load.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly out=${DEMO_OUT:-out/cost}
readonly rate=${1:-500}
readonly duration=${2:-10s}
readonly weights_bytes=4194304
readonly batch=256
readonly limiter=${COST_LIMITER:-adaptive}
readonly warm=${COST_WARM:-15s}

# shellcheck source=scripts/lib.sh
source scripts/lib.sh

readonly zone=surrey-yard
readonly region=lower-mainland

start_processes() {
  local entry engine
  entry=$(ip 0 1)
  engine=$(ip 0 11)
  start platform "$bin/standin-platform" -listen "$platform"
  start origin "$bin/standin-origin" -listen "$origin"
  await_http "http://$platform/admin/stats"
  await_http "http://$origin/admin/stats"
  add_version v1 "$(realpath "$out")/weights"
  set_vms "$(vm_row entry entry "$zone" "$region" "$entry:7000" "")" \
    "$(vm_row model endpoint "$zone" "$region" "$engine:7000" ',"pool":"assistant"')"
  ZINNIASEAM_OPERATOR_KEYS=demo:$operator_key start entry "$bin/zsentry" -vm entry -zone "$zone" -region "$region" \
    -peer-listen "$entry:7000" -platform-url "http://$platform" -caller-listen "$entry:8000" -operator-listen "$entry:9000"
  start engine "$bin/standin-engine" -listen "$engine:7300" -max-batch "$batch" -cold-batch "$batch" -token-per-stream 1us
  start model "$bin/zsendpoint" -vm model -zone "$zone" -region "$region" -peer-listen "$engine:7000" \
    -platform-url "http://$platform" -seeds "$entry:7000" -pool assistant -engine-url "http://$engine:7300" -gate-limiter "$limiter" \
    -store-url "http://$origin" -origin-region "$region"
  await_http "http://$entry:8000/healthz"
}

write_operators_file() {
  local whole
  whole=$(sha256sum <"$out/weights" | cut -d' ' -f1)
  cat >"$out/operators.yaml" <<YAML
zones: [{name: $zone, region: $region}]
models: [{name: assistant}]
versions: [{name: v1, model: assistant, whole: "$whole", sizeBytes: $weights_bytes}]
pools: [{name: assistant, model: assistant, version: v1, zones: [$zone]}]
routes: [{name: assistant, model: assistant, pool: assistant, priority: briefing}]
teams: [{name: north, weight: 1}]
YAML
}

main() {
  prepare_out
  head -c "$weights_bytes" /dev/urandom >"$out/weights"
  start_processes
  write_operators_file
  operate "$(ip 0 1)" apply -f "$out/operators.yaml"
  checked "$bin/zsload" spread -engines "$(ip 0 11):7300" -origin "$origin" -version v1 -chunks "$(chunks_of "$weights_bytes")" \
    -timeout 30s -out "$out/spread.json"
  await_http "http://$(ip 0 1):8000/readyz"
  step "load until the gate has opened"
  checked "$bin/zsload" load -entries "$(ip 0 1):8000" -rate "$rate" -duration "$warm" -mix chat:briefing:north=1 -out "$out/warm.json"
  step "comparison"
  checked "$bin/zsload" compare -entry "$(ip 0 1):8000" -engine "$(ip 0 11):7300" -rate "$rate" -duration "$duration" \
    -entry-pid "${pid_of[entry]}" -endpoint-pid "${pid_of[model]}" -out "$out/compare.json"
  conclude
}

main "$@"
