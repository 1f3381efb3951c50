#!/usr/bin/env bash
# Generates the Go code of the messages between processes. It needs protoc,
# protoc-gen-go v1.36.12 and protoc-gen-go-grpc; the build does not, because
# the generated code is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in rpc/peerpb/peer.proto turnstore/turnpb/turn.proto newsfeed/feedpb/feed.proto; do
  (
    cd "${source%%/*}"
    PATH="$(go env GOPATH)/bin:$PATH" protoc \
      --go_out=. --go_opt=paths=source_relative \
      --go-grpc_out=. --go-grpc_opt=paths=source_relative \
      "${source#*/}"
  )
done
