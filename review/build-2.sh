#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: store, runners, links, clients and what plays them,
# all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-2/cases ./review/harness2
