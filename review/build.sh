#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/stage ./cmd/stage
