#!/usr/bin/env bash
# Regenerates the Go code of every .proto file below this folder. It needs protoc (Debian package
# protobuf-compiler); the Go plugins are tools of the adapter module, with pinned versions.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp
for proto in */*.proto; do
  PATH="$bin:$PATH" protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. "$proto"
done
