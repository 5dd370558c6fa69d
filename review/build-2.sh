#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/drill ./review/drill
