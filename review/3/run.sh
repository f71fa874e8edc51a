#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
timeout -k 3 115 target/review/manyends -binary target/jacinthpost -record review/3/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
