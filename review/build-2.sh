#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-standin-2 ./review/standin2
