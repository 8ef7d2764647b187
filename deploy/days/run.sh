#!/usr/bin/env bash
# Plays every day of this folder on a site, some at a time, and prints one line a day.
# usage: BENCH=path-of-the-bench deploy/days/run.sh SITE-FILE [DAY ...]
set -uo pipefail
site=$1
shift
folder=$(cd "$(dirname "$0")" && pwd)
days=("$@")
if [ "${#days[@]}" -eq 0 ]; then
  for file in "$folder"/*.toml; do days+=("$(basename "$file" .toml)"); done
fi
play() {
  output=$("$BENCH" run "$1" "$2/$3.toml" --why "own day $3" 2>&1)
  line=$(grep -m1 -E "^$3 " <<<"$output" || grep -m1 -iE "error|cannot|unknown" <<<"$output" || tail -n 1 <<<"$output")
  printf '%s\n' "${line:-$3: no result}" | cut -c1-220
}
export -f play
export BENCH
printf '%s\n' "${days[@]}" | xargs -P "${JOBS:-4}" -I{} bash -c 'play "$@"' _ "$site" "$folder" {}
