#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
CGO_ENABLED=0 go build -o ../../target/rig-2 .
