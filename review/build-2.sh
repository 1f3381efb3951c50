#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the build of the deploy file:
# one program with the stand-ins of the platform's store, of backend servers and of clients.
# It uses the versions of libraries that the build of the deploy file has fetched.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK="$PWD/go.work" go build -o ../../target/standin2 .
