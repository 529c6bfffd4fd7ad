#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/. It needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/standin3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin3 .
