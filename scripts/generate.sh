#!/usr/bin/env bash
# Generates the Go code of the protobuf messages and gRPC services that the
# processes use among themselves. Requires protoc, protoc-gen-go v1.36.12 and
# protoc-gen-go-grpc. The build does not need them, because the generated code
# is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
for proto_file in rpc/peerpb/peer.proto turnstore/turnpb/turn.proto newsfeed/feedpb/feed.proto tunnel/tunnelpb/tunnel.proto coordination/coordinationpb/coordination.proto serverstats/serverstatspb/serverstats.proto quota/quotapb/quota.proto; do
  (
    cd "${proto_file%%/*}"
    PATH="$(go env GOPATH)/bin:$PATH" protoc \
      --go_out=. --go_opt=paths=source_relative \
      --go-grpc_out=. --go-grpc_opt=paths=source_relative \
      "${proto_file#*/}"
  )
done
