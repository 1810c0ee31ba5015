#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$folder/../bin/cases" ] || { echo "run review/build.sh first"; exit 2; }
exec "$folder/../bin/cases" late-order "$folder/../.." "$folder/record.txt"
