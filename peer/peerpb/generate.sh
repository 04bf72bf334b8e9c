#!/usr/bin/env bash
# Regenerates the committed Go code from the .proto files. Needs protoc.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
(cd ../../tools && go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative ./*.proto
rm -r "$bin"
