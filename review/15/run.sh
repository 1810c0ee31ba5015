#!/bin/bash
# Plays case "read-back" of review/rig-3. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/rig-3" ] && [ -x "$root/target/endivespring" ] || exit 2
exec "$root/target/rig-3" read-back "$root/target/endivespring" record.txt
