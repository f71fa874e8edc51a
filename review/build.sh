#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin/...
