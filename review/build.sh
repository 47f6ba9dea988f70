#!/bin/sh
# Builds the stand-ins that the scripts start, and the program that runs the cases.
# It follows the build of deploy/system.toml and needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/standins
go build -o target/review ./review/cases
