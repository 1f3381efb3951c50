#!/usr/bin/env bash
# Builds the stand-ins of the cases to review/bin. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
(cd standin && GOWORK=off go build -o ../bin/standin .)
