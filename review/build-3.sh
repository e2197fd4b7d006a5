#!/usr/bin/env bash
# Builds the program of the scripts review/11 to review/15, which is the platform's store, the
# runners and the clients. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/harness3 && go build -o ../../target/review3 .)
