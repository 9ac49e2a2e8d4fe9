#!/usr/bin/env bash
# Runs the commands of docs/FIRST-STEPS.md to check that the page is up to date.
#
# Usage: scripts/first-steps.sh
#
# Needs bash, curl, make and coreutils. Logs are kept in out/first.
set -euo pipefail
cd "$(dirname "$0")/.."

# limit is the maximum duration of all steps, in seconds.
readonly limit=120

page=$(mktemp)
trap 'rm -f "$page"' EXIT
{
  printf '%s\n' 'set -euo pipefail' "trap 'kill -KILL \$(jobs -p) 2>/dev/null || true' EXIT"
  sed -n 's/^    //p' docs/FIRST-STEPS.md
} >"$page"
timeout "$limit" bash "$page"
printf 'Every command of the page succeeded.\n'
