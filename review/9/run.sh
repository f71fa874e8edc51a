#!/usr/bin/env bash
# Plays the case once: 1 if UNASKED was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/jacinthpost ] || [ ! -x target/review-fleet ]; then
  echo "build first: the build line of deploy/system.toml, and review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-fleet -case unasked -rule UNASKED -folder "$folder" -record "$here/record.txt"
