#!/usr/bin/env bash
# Plays the days on which requests of one class end the back ends that run them, for each class named.
# usage: BENCH=path-of-the-bench deploy/days/deadly.sh SITE-FILE CLASS ...
set -euo pipefail
site=$1
shift
folder=$(cd "$(dirname "$0")" && pwd)
copies=$(mktemp -d)
trap 'rm -r "$copies"' EXIT
for class in "$@"; do
  for day in deadly deadly-varied; do
    copy="$copies/$day-$class.toml"
    sed -e "s/class = \"[a-z-]*\"/class = \"$class\"/g" -e "s/^name = .*/name = \"$day-$class\"/" "$folder/$day.toml" >"$copy"
    "$BENCH" run "$site" "$copy" --why "own day $day, requests of $class" 2>&1 |
      grep -E "^$day-$class |^BUDGET|^DENIED|^TWICE|^MIXED|[A-Z]{4,}.* at .* s:|error|cannot" | cut -c1-220 || true
  done
done
