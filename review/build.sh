#!/usr/bin/env bash
# Builds the stand-ins of the review into target/. The deploy file's build line builds the
# product's programs there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
