#!/usr/bin/env bash
# Runs the whole system end to end on loopback addresses: three availability
# zones, distribution of a real file, streamed and unary calls through two entries,
# a version change under load, and a zone that is taken out and put back.
#
# Usage: scripts/demo.sh [FILE]     FILE is distributed as weights; default: 64 MB of random data.
#
# Needs bash, curl and coreutils. Exit codes: 0 if all guarantees held, 3 if one
# was violated, 1 if the demo itself failed. Logs and results are kept in out/demo,
# or in DEMO_OUT.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly out=${DEMO_OUT:-out/demo}
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=scripts/zones.sh
source scripts/zones.sh

readonly load_rate=60
readonly steady_load=6s
readonly replace_load=60s
readonly move_load=17s
readonly moved_zone=1

# watch_work FLAGS... checks whether engines and desks receive new work.
watch_work() {
  checked "$bin/zsload" quiet -engines "$engines" -services "$desks" "$@"
}

replace_version() {
  start_load replace "$load_rate" "$replace_load" "$entries"
  sleep 1
  apply_version v2
  watch_spread v2 "$(chunks_of "$size_v2")"
  sleep 1
  checked terminate load-replace
}

move_zone() {
  start_load move "$load_rate" "$move_load" "$entries"
  addresses "$moved_zone" "$moved_zone"
  watch_work -busy -grace 500ms -duration 2s -out "$out/busy.json"
  operate "$(entry_ip 0 0)" zone out "${zones[moved_zone]}"
  watch_work -grace 3s -duration 4s -out "$out/quiet.json"
  operate "$(entry_ip 0 0)" zone in "${zones[moved_zone]}"
  watch_work -busy -grace 3s -duration 2s -out "$out/busy-again.json"
  checked finish load-move
}

main() {
  prepare_out
  entries=$(entry_ip 0 0):8000,$(entry_ip "$moved_zone" 0):8000

  step "platform, origin and ${#zones[@]} availability zones"
  start_fleet "${1:-}"
  say "$weights_v1: $size_v1 bytes, $(chunks_of "$size_v1") chunks; region links carry $region_rate KiB/s"
  say "${#pid_of[@]} processes run"

  step "operators apply $out/operators.yaml; v1 spreads"
  apply_version v1
  await_ready "$(entry_ip 0 0)" "$(entry_ip "$moved_zone" 0)"
  watch_spread v1 "$(chunks_of "$size_v1")"

  step "steady load through two entries"
  prepare_load steady "$load_rate" "$steady_load" "$entries"
  checked "${load_command[@]}"

  step "v2 replaces v1 under load"
  replace_version

  step "${zones[moved_zone]} leaves and returns under load"
  move_zone

  step "status and result"
  operate "$(entry_ip 0 0)" status
  checked "$bin/zsload" verdict -spreads "$out/spread-v1.json,$out/spread-v2.json" \
    -loads "steady=$out/load-steady.json,replace=$out/load-replace.json,move=$out/load-move.json" \
    -no-gaps steady,replace,move -quiet "$out/quiet.json" -engines "$all_engines"
  conclude
}

main "$@"
