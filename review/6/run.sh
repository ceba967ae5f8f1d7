#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
[ -x ../bin/badstatus ] || { echo "cannot run: build-2.sh has not been run"; exit 2; }
PROGRAM=$(cd ../.. && pwd)/target/petreltide exec ../bin/badstatus
