#!/usr/bin/env bash
# Regenerates the protocol buffer code. Needs protoc and the Go tools of tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc)
PATH="$bin:$PATH" protoc -Iinternal/wire --go_out=. --go_opt=module=endivespring \
  --go-grpc_out=. --go-grpc_opt=module=endivespring endivespring.proto
