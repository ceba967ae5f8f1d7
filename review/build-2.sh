#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into review/bin.
set -eu
cd "$(dirname "$0")"
for module in second third; do
	(cd "$module" && GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/ ./cmd/...)
done
