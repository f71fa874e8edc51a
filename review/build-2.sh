#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. The product itself is built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 6 7 8; do
  go build -o "target/review-$number" "./review/$number"
done
go build -o target/review-fleet ./review/fleet
# No case: shows rule CONFIG, which the fault of case 7 breaks as well.
go build -o target/review-config ./review/config
