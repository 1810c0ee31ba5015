#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11, 13, 14 and 15 start into target/, as a test
# binary: see rig-3/platform/main_test.go.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
CGO_ENABLED=0 go test -c -o ../../target/rig-3 ./platform
