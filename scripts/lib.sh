# shellcheck shell=bash
# Functions shared by the scripts that run processes on loopback addresses. The
# sourcing script sets out (the directory for logs and results). Optional environment
# variables: DEMO_BIN (the directory of the programs) and DEMO_NET (the second octet
# of all addresses, 127.N.zone.host).

readonly bin=${DEMO_BIN:-bin}
readonly net=${DEMO_NET:-0}
readonly megabyte=$((1024 * 1024))
readonly chunk_bytes=$megabyte
readonly platform=127.$net.1.100:7100
readonly origin=127.$net.1.100:7200

# Exit code of zsload if a guarantee was violated.
readonly exit_promise=3
# Exit code of zsctl if an entry is unreachable or cannot decide yet; nothing was
# changed, so the command can be retried.
readonly exit_try_again=3
readonly operate_tries=20

operator_key=$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n')
readonly operator_key

# pid_of maps the name of each started process to its PID.
declare -A pid_of=()
broken=0

say() { printf '%s\n' "$*"; }
step() { printf '\n== %4d s  %s\n' "$SECONDS" "$*"; }

fail() {
  say "failed: $*" >&2
  exit 1
}

# stop_all terminates all started processes, with SIGKILL after 5 s, and waits for them.
stop_all() {
  trap - EXIT INT TERM
  if ((${#pid_of[@]} > 0)); then
    kill -TERM "${pid_of[@]}" 2>/dev/null || true
    for _ in $(seq 50); do
      kill -0 "${pid_of[@]}" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "${pid_of[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
  fi
}
trap stop_all EXIT
trap 'exit 1' INT TERM

# prepare_out creates the output directory and removes old logs and results.
prepare_out() {
  mkdir -p "$out/logs"
  rm -f "$out"/logs/*.log "$out"/*.json
}

# start NAME COMMAND... runs a process in the background, logging to NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$out/logs/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# finish NAME waits for a process and returns its exit code.
finish() {
  local code=0
  wait "${pid_of[$1]}" || code=$?
  unset "pid_of[$1]"
  return "$code"
}

# terminate NAME sends SIGTERM to a process, waits for it and returns its exit code.
terminate() {
  kill -TERM "${pid_of[$1]}" 2>/dev/null || true
  finish "$1"
}

# checked COMMAND... records a violated guarantee and fails on any other error.
checked() {
  local code=0
  "$@" || code=$?
  case $code in
    0) ;;
    "$exit_promise") broken=1 ;;
    *) fail "$* (exit code $code)" ;;
  esac
}

# conclude prints the result of the checks and exits with exit_promise if one failed.
conclude() {
  if ((broken)); then
    say "A promise broke; logs and results are in $out." >&2
    exit "$exit_promise"
  fi
  say "Every promise held in $SECONDS s."
}

# await_http URL waits until the URL answers with a success status.
await_http() {
  for _ in $(seq 100); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.1
  done
  fail "$1 does not answer"
}

# join_by SEPARATOR ITEM...
join_by() {
  local IFS=$1
  shift
  printf '%s' "$*"
}

ip() { printf '127.%d.%d.%d' "$net" $(($1 + 1)) "$2"; }

chunks_of() { printf '%d' $((($1 + chunk_bytes - 1) / chunk_bytes)); }

# put_json URL JSON
put_json() { curl -fsS -X PUT --data "$2" "$1"; }

# add_version VERSION FILE serves a file at the origin.
add_version() {
  curl -fsS -o /dev/null -X PUT --get --data-urlencode "path=$2" \
    --data-urlencode "chunk_bytes=$chunk_bytes" "http://$origin/admin/versions/$1"
}

# vm_row ID ROLE ZONE REGION PEER-ADDRESS MORE prints a row of the platform's VM list.
vm_row() {
  printf '{"id":"%s","role":"%s","zone":"%s","region":"%s","peerAddr":"%s","state":"live"%s}' "$@"
}

# set_vms ROW... writes the platform's VM list.
set_vms() { put_json "http://$platform/admin/vms" "[$(join_by , "$@")]"; }

# operate ENTRY-IP COMMAND... runs zsctl and retries it while it exits with
# exit_try_again, at most operate_tries times.
operate() {
  local entry=$1 code tries
  shift
  for ((tries = 1; tries <= operate_tries; tries++)); do
    code=0
    ZINNIASEAM_OPERATOR_KEY=$operator_key ZINNIASEAM_ENTRIES=$entry:9000 "$bin/zsctl" "$@" || code=$?
    ((code == exit_try_again)) || break
    sleep 0.5
  done
  ((code == 0)) || fail "zsctl $* (exit code $code)"
}
