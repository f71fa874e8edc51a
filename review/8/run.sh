#!/usr/bin/env bash
# Plays review case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
for program in target/jacinthpost target/review-8; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
timeout --kill-after 5 110 target/review-8 review/8/record.txt target/jacinthpost
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
