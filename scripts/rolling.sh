#!/usr/bin/env bash
# Rolling replacement of every process of the product under load, on loopback
# addresses. Checks that no request was truncated and no order ran twice.
#
# Usage: scripts/rolling.sh
#
# Needs bash, curl and coreutils. Exit codes: 0 if all guarantees held, 3 if one
# was violated, 1 if the script itself failed. Logs and results are kept in
# out/rolling, or in DEMO_OUT.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly out=${DEMO_OUT:-out/rolling}
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=scripts/zones.sh
source scripts/zones.sh

readonly load_rate=60
readonly longest_load=90s
readonly between_stops=1.5
readonly made_weights_bytes=$((4 * megabyte))

# replace NAME START-COMMAND... stops a process gracefully and starts its replacement.
replace() {
  local name=$1 code=0
  shift
  terminate "$name" || code=$?
  if ((code != 0)); then
    say "promise broken: $name ended with code $code"
    broken=1
  fi
  "$@"
  sleep "$between_stops"
}

replace_zone() {
  local z=$1 i
  for ((i = 0; i < entries_in_zone[z]; i++)); do
    replace "${zones[z]}-entry-$i" start_entry "$z" "$i"
    await_ready "$(entry_ip "$z" "$i")"
  done
  for ((i = 0; i < endpoints_in_zone; i++)); do
    replace "${zones[z]}-model-$i" start_model "$z" "$i"
  done
  replace "${zones[z]}-desk" start_desk "$z"
}

main() {
  local z
  prepare_out
  step "platform, origin and ${#zones[@]} availability zones"
  start_fleet
  apply_version v1
  await_ready "$(entry_ip 0 0)" "$(entry_ip 1 0)" "$(entry_ip 2 0)"
  watch_spread v1 "$(chunks_of "$size_v1")"

  step "load"
  start_load rolling "$load_rate" "$longest_load" "$(entry_ip 0 0):8000,$(entry_ip 1 0):8000,$(entry_ip 2 0):8000"
  sleep 4
  for z in "${!zones[@]}"; do
    step "every process of ${zones[z]} is replaced"
    replace_zone "$z"
  done
  checked terminate load-rolling

  step "result"
  cat "$out/logs/load-rolling.log"
  checked "$bin/zsload" verdict -loads "rolling=$out/load-rolling.json" -no-gaps rolling -no-cuts rolling -engines "$all_engines"
  conclude
}

main "$@"
