#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/third/... ./cmd/standins
