#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts into review/bin. They need the
# Go standard library only. The build tag keeps them out of every other build and test
# run.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-buildvcs=false go test -c -tags review -o review/bin/cases ./review/harness
