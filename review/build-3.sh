#!/usr/bin/env bash
# Builds the stand-ins of cases 11 and 13 to 15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
CGO_ENABLED=1 go build -o target/review-3/ ./review/standin-3
