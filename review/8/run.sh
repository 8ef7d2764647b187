#!/usr/bin/env bash
# Leafs answer 1 of 50 requests with 200 and no stamp: first those of one service, then those of four shards, whose
# stamps are empty.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/sablebay ] && [ -x target/review-2/rig ] || exit 2
target/review-2/rig odd-stamps "$folder"
