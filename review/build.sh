#!/usr/bin/env bash
# Builds the programs of the deploy file and the stand-ins of the review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./platform/cmd/...
go build -o target/review/rig ./review/rig
