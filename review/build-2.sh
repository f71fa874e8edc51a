#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. The product itself is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-fleet ./review/fleet
