#!/usr/bin/env bash
# Injects faults under load on loopback addresses: full load on cold engines,
# engines that become cold without notice, then crashing services and a platform
# outage. Compares the answers to callers with the services' ledgers.
#
# Usage: scripts/faults.sh [SEED]
#
# Needs bash, curl and coreutils. Exit codes: 0 if all guarantees held, 3 if one
# was violated, 1 if the script itself failed. Logs and results are kept in
# out/faults, or in DEMO_OUT.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly out=${DEMO_OUT:-out/faults}
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=scripts/zones.sh
source scripts/zones.sh

readonly seed=${1:-1}
readonly made_weights_bytes=$((4 * megabyte))
readonly cold_rate=400
readonly turn_rate=200
readonly outage_rate=100
readonly outage_seconds=5

turn_cold() {
  start_load turn "$turn_rate" 10s "$entries"
  sleep 3
  local engine
  for engine in "$(endpoint_ip 0 0)" "$(endpoint_ip 1 1)" "$(endpoint_ip 2 2)"; do
    put_json "http://$engine:7300/admin/faults" '{"goCold":true}'
  done
  checked finish load-turn
}

suffer_outage() {
  local z
  start_load outage "$outage_rate" 14s "$entries"
  sleep 1
  for z in "${!zones[@]}"; do
    put_json "http://$(service_ip "$z"):7400/admin/faults" "{\"dieAfterRate\":0.2,\"dieBeforeRate\":0.1,\"seed\":$seed}"
  done
  sleep 2
  put_json "http://$platform/admin/faults" '{"outage":true}'
  sleep "$outage_seconds"
  put_json "http://$platform/admin/faults" "{\"loseAnswerRate\":0.3,\"seed\":$seed}"
  checked finish load-outage
}

main() {
  prepare_out
  say "seed $seed"
  step "platform, origin and ${#zones[@]} availability zones"
  start_fleet
  apply_version v1
  entries=$(entry_ip 0 0):8000,$(entry_ip 1 0):8000,$(entry_ip 2 0):8000
  await_ready "$(entry_ip 0 0)" "$(entry_ip 1 0)" "$(entry_ip 2 0)"
  watch_spread v1 "$(chunks_of "$size_v1")"

  step "full load on cold engines"
  prepare_load cold "$cold_rate" 8s "$entries"
  checked "${load_command[@]}"

  step "three of nine engines turn cold under load"
  turn_cold
  cat "$out/logs/load-turn.log"

  step "services die, then the platform is down for $outage_seconds s and loses answers after it"
  suffer_outage
  cat "$out/logs/load-outage.log"

  step "result"
  checked "$bin/zsload" verdict -loads "cold=$out/load-cold.json,turn=$out/load-turn.json,outage=$out/load-outage.json" \
    -engines "$all_engines"
  conclude
}

main "$@"
