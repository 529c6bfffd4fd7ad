#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin2 .
