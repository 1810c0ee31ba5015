#!/bin/bash
# Builds the stand-ins of the third review into target/, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/rig-3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/rig-3 .
