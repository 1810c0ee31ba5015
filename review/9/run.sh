#!/usr/bin/env bash
# Plays the case "drain". Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rig-2 ] && [ -x ../../target/endivespring ] || { echo "build first: the deploy file's build, review/build-2.sh"; exit 2; }
exec ../../target/rig-2 drain record.txt
