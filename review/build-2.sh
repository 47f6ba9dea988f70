#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the build of the deploy file: the
# project's stand-ins, and the small ones of review/second.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/standins ./review/second
