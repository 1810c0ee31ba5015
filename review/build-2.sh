#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, as a test binary: see rig-2/platform/main_test.go.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
CGO_ENABLED=0 go test -c -o ../../target/rig-2 ./platform
