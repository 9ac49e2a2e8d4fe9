#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin-2
