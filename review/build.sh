#!/usr/bin/env bash
# Builds the test program that plays the cases, with its stand-ins. Run it after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/tools"
go test -c -o ../bin/cases ./platform
