# shellcheck shell=bash
# Three availability zones of processes on loopback addresses: entries, model
# endpoints with engines, and a dispatch desk in each. Requires lib.sh.

readonly default_weights_bytes=$((64 * megabyte))
readonly origin_bytes_per_second=$((24 * megabyte))
# 25 Mb/s, the bandwidth of a link between two regions.
readonly region_kib_per_second=3050
# Maximum duration of one copy over a region link; large files raise the rate to meet it.
readonly region_copy_seconds=20
readonly spread_timeout=50s

readonly zones=(surrey-yard kamloops-yard pg-yard)
readonly regions=(lower-mainland interior north)
readonly entries_in_zone=(2 1 1)
readonly endpoints_in_zone=3
readonly service=dispatch-desk

entry_ip() { ip "$1" $((1 + $2)); }
endpoint_ip() { ip "$1" $((11 + $2)); }
service_ip() { ip "$1" 21; }

# make_weights [FILE] sets the weights of two versions. Without FILE it generates
# random data.
make_weights() {
  local given=${1:-}
  if [[ -n $given ]]; then
    [[ -r $given && -s $given ]] || fail "$given can't be read or is empty"
    weights_v1=$(realpath "$given")
  else
    weights_v1=$(realpath "$out")/weights-v1
    head -c "${made_weights_bytes:-$default_weights_bytes}" /dev/urandom >"$weights_v1"
  fi
  # Version 2 is the same file with a line prepended, so every chunk differs.
  weights_v2=$(realpath "$out")/weights-v2
  { echo "version 2"; cat "$weights_v1"; } >"$weights_v2"
  size_v1=$(stat -c %s "$weights_v1")
  size_v2=$(stat -c %s "$weights_v2")
  whole_v1=$(sha256sum <"$weights_v1" | cut -d' ' -f1)
  whole_v2=$(sha256sum <"$weights_v2" | cut -d' ' -f1)
  region_rate=$((size_v2 / region_copy_seconds / 1024))
  ((region_rate > region_kib_per_second)) || region_rate=$region_kib_per_second
}

start_platform() {
  start platform "$bin/standin-platform" -listen "$platform"
  start origin "$bin/standin-origin" -listen "$origin" -rate "$origin_bytes_per_second"
  await_http "http://$platform/admin/stats"
  await_http "http://$origin/admin/stats"
  add_version v1 "$weights_v1"
  add_version v2 "$weights_v2"
}

# declare_vms writes the platform's VM list.
declare_vms() {
  local rows=() z i
  for z in "${!zones[@]}"; do
    for ((i = 0; i < entries_in_zone[z]; i++)); do
      rows+=("$(vm_row "${zones[z]}-entry-$i" entry "${zones[z]}" "${regions[z]}" "$(entry_ip "$z" "$i"):7000" "")")
    done
    for ((i = 0; i < endpoints_in_zone; i++)); do
      rows+=("$(vm_row "${zones[z]}-model-$i" endpoint "${zones[z]}" "${regions[z]}" "$(endpoint_ip "$z" "$i"):7000" ',"pool":"assistant"')")
    done
    rows+=("$(vm_row "${zones[z]}-desk" endpoint "${zones[z]}" "${regions[z]}" "$(service_ip "$z"):7000" ",\"service\":\"$service\"")")
  done
  set_vms "${rows[@]}"
}

# common_settings VM ZONE-INDEX IP prints the flags common to all processes of the product.
common_settings() {
  printf -- '-vm\n%s\n-zone\n%s\n-region\n%s\n-peer-listen\n%s:7000\n-platform-url\nhttp://%s\n-seeds\n%s\n-stop-timeout\n5s\n' \
    "$1" "${zones[$2]}" "${regions[$2]}" "$3" "$platform" "$(entry_ip "$2" 0):7000"
}

# start_entry ZONE-INDEX INDEX
start_entry() {
  local vm=${zones[$1]}-entry-$2 address settings
  address=$(entry_ip "$1" "$2")
  mapfile -t settings < <(common_settings "$vm" "$1" "$address")
  ZINNIASEAM_OPERATOR_KEYS=demo:$operator_key start "$vm" "$bin/zsentry" "${settings[@]}" \
    -caller-listen "$address:8000" -operator-listen "$address:9000"
}

# start_engine ZONE-INDEX INDEX; engines with an odd index check fencing tokens, the others
# ignore them.
start_engine() {
  start "${zones[$1]}-engine-$2" "$bin/standin-engine" -listen "$(endpoint_ip "$1" "$2"):7300" -check-fence="$(($2 % 2))"
}

# start_model ZONE-INDEX INDEX starts the endpoint process on an engine's VM.
start_model() {
  local vm=${zones[$1]}-model-$2 address settings
  address=$(endpoint_ip "$1" "$2")
  mapfile -t settings < <(common_settings "$vm" "$1" "$address")
  start "$vm" "$bin/zsendpoint" "${settings[@]}" -pool assistant -engine-url "http://$address:7300" \
    -store-url "http://$origin" -origin-region "${regions[0]}" -region-rate "$region_rate"
}

# start_service ZONE-INDEX
start_service() {
  start "${zones[$1]}-service" "$bin/standin-service" -listen "$(service_ip "$1"):7400" -name "$service" -delay 5
}

# start_desk ZONE-INDEX starts the endpoint process on a service's VM.
start_desk() {
  local vm=${zones[$1]}-desk address settings
  address=$(service_ip "$1")
  mapfile -t settings < <(common_settings "$vm" "$1" "$address")
  start "$vm" "$bin/zsendpoint" "${settings[@]}" -service "$service" -service-url "http://$address:7400"
}

start_zones() {
  local z i
  for z in "${!zones[@]}"; do
    for ((i = 0; i < entries_in_zone[z]; i++)); do start_entry "$z" "$i"; done
    for ((i = 0; i < endpoints_in_zone; i++)); do
      start_engine "$z" "$i"
      start_model "$z" "$i"
    done
    start_service "$z"
    start_desk "$z"
  done
  for z in "${!zones[@]}"; do
    await_http "http://$(entry_ip "$z" 0):8000/healthz"
  done
}

# addresses FIRST-ZONE LAST-ZONE sets engines and desks to the addresses in these zones.
addresses() {
  local z i list=() desk_list=()
  for ((z = $1; z <= $2; z++)); do
    for ((i = 0; i < endpoints_in_zone; i++)); do list+=("$(endpoint_ip "$z" "$i"):7300"); done
    desk_list+=("$(service_ip "$z"):7400")
  done
  engines=$(join_by , "${list[@]}")
  desks=$(join_by , "${desk_list[@]}")
}

# start_fleet [FILE] starts all processes and sets all_engines and all_desks.
start_fleet() {
  make_weights "${1:-}"
  addresses 0 2
  all_engines=$engines
  all_desks=$desks
  start_platform
  declare_vms
  start_zones
}

# write_operators_file VERSION writes the operators' file with VERSION as the pool's
# target version.
write_operators_file() {
  cat >"$out/operators.yaml" <<YAML
zones:
  - {name: surrey-yard, region: lower-mainland}
  - {name: kamloops-yard, region: interior}
  - {name: pg-yard, region: north}
models:
  - {name: assistant}
versions:
  - {name: v1, model: assistant, whole: "$whole_v1", sizeBytes: $size_v1}
  - {name: v2, model: assistant, whole: "$whole_v2", sizeBytes: $size_v2}
pools:
  - {name: assistant, model: assistant, version: $1, zones: [surrey-yard, kamloops-yard, pg-yard]}
services:
  - name: $service
    zones: [surrey-yard, kamloops-yard, pg-yard]
    calls:
      - {methods: [GET], prefix: /orders, idempotent: true, priority: summary}
      - {methods: [POST], prefix: /orders, priority: dispatch}
routes:
  - {name: assistant, model: assistant, pool: assistant, priority: briefing}
  - {name: desk, service: $service, priority: dispatch}
teams:
  - {name: north, weight: 2}
  - {name: interior, weight: 1}
YAML
}

# apply_version VERSION
apply_version() {
  write_operators_file "$1"
  operate "$(entry_ip 0 0)" apply -f "$out/operators.yaml"
}

# watch_spread VERSION CHUNKS
watch_spread() {
  checked "$bin/zsload" spread -engines "$all_engines" -origin "$origin" -version "$1" \
    -chunks "$2" -timeout "$spread_timeout" -out "$out/spread-$1.json"
}

# await_ready ENTRY-IP... waits until entries are ready for callers.
await_ready() {
  local entry
  for entry in "$@"; do await_http "http://$entry:8000/readyz"; done
}

# prepare_load NAME RATE DURATION ENTRIES sets load_command, which sends load and
# verifies the answers.
prepare_load() {
  load_command=("$bin/zsload" load -entries "$4" -balance -rate "$2" -duration "$3"
    -model assistant -service "$service" -seed "${seed:-1}" -key-prefix "$1" -retries 3 -retry-unknown
    -ledgers "$all_desks" -expect "v1=$whole_v1,v2=$whole_v2" -out "$out/load-$1.json")
}

# start_load NAME RATE DURATION ENTRIES runs the load in the background as load-NAME.
start_load() {
  prepare_load "$@"
  start "load-$1" "${load_command[@]}"
}
