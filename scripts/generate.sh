#!/usr/bin/env bash
# Generates the Go code for the .proto files in internal/rpc. Requires protoc,
# which is in the package protobuf-compiler. The protoc plugins are declared as
# tools in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
for f in internal/rpc/*/*.proto; do
  PATH="$tools:$PATH" protoc --proto_path=. --go_out=. --go_opt=paths=source_relative \
    --twirp_out=. --twirp_opt=paths=source_relative "$f"
done
