# Functions for measurements of a fleet that fleet.sh has started. Sourced by the
# measure-*.sh scripts, which set EXAMPLE to the example's name first.
run=examples/$EXAMPLE/run
bin=bin/endivespring
callers() { awk '{print $4}' "$run/addresses" | paste -sd,; }
callers_of() { awk -v s="$1" '$2 == s {print $4}' "$run/addresses" | paste -sd,; }
standins_of() { awk -v s="$1" '$2 == s {print $5}' "$run/addresses" | paste -sd,; }
operate() { (cd "examples/$EXAMPLE" && ../../$bin "$1" --settings run/operator.json "${@:2}"); }
pid_of() { awk -v n="$1" '$1 == n {print $2}' "$run/processes" | tail -1; }
# ledger_count EVENT prints the number of such events in all ledgers.
ledger_count() { cat "$run"/*.ledger | grep -c "\"event\":\"$1\"" || true; }
# doubled prints the number of non-idempotent requests that ran more than once.
doubled() { cat "$run"/*.ledger | jq -r 'select(.event == "started" and (.operation | IN("lookup", "check") | not)) | .requestId' | sort | uniq -d | wc -l; }
