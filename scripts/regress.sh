#!/usr/bin/env bash
# regress.sh BENCH [-full] SITE... scores each site with the users' bench and
# compares every day with the last complete score of that site in journal/. It
# prints the days whose worth fell by more than 0.03, and fails if there are any
# or if a gate is not passed. It plays the light days, or all days with -full.
# Sites of hundreds of hosts are played one day at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
shift
quick=--quick
if [ "${1:-}" = -full ]; then
  quick=
  shift
fi

# worths prints the name and the worth of each day in a score's output.
worths() { awk '$2 ~ /^[0-9]+\/[0-9]+$/ {print $1, $4}'; }

# last_score prints the identifier of the last complete score of site $1.
last_score() { "$bench" journal list | awk -v s="$1" '$3 == "score" && $4 == s && $5 ~ /^[0-9.]+$/ {i = $1} END {print i}'; }

status=0
for site in "$@"; do
  name=$(basename "$site" .toml)
  jobs=3
  case $site in */large/*) jobs=1 ;; esac
  id=$(last_score "$name")
  before=$(mktemp) after=$(mktemp) out=$(mktemp)
  if [ -n "$id" ]; then "$bench" journal show "$id" | worths >"$before"; fi
  echo "== $name, compared with ${id:-nothing}"
  "$bench" score "$site" $quick --jobs "$jobs" --why "regression run" >"$out" || true
  worths <"$out" >"$after"
  grep -E '^GATE|broke|rule' "$out" || true
  grep -q '^GATE passed' "$out" || status=1
  awk 'NR == FNR {w[$1] = $2; next} ($1 in w) {printf "%s %s before %s%s\n", $1, $2, w[$1], ($2 < w[$1] - 0.03 ? " FELL" : "")}' "$before" "$after" |
    tee "$out"
  if grep -q FELL "$out"; then status=1; fi
  rm -f "$before" "$after" "$out"
done
exit $status
