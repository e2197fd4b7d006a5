#!/usr/bin/env bash
# Builds the stand-ins and the clients of the scripts into review/bin. It needs
# the Go standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false GOWORK=off go test -c -o ../bin/cases .
