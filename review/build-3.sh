#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
export GOFLAGS=-buildvcs=false GOWORK=off
go build -o ../../target/review-standin-3 .
