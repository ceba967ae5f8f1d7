#!/bin/sh
# Builds the programs of the cases 9 and later into review/bin. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/third"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../bin/ ./cmd/...
