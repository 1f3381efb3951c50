#!/usr/bin/env bash
# Generates the Go code of the messages between nodes. It needs protoc,
# protoc-gen-go v1.36.12 and protoc-gen-go-grpc; the build does not, because
# the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/../rpc"
PATH="$(go env GOPATH)/bin:$PATH" protoc \
  --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative \
  peerpb/peer.proto
