#!/usr/bin/env bash
# Plays case 13: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
repository=$(cd "$folder/../.." && pwd) || exit 2
for program in zsgateway zsagent review-3/standin-3; do
  [ -x "$repository/target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec "$repository/target/review-3/standin-3" 13 "$repository" "$folder"
