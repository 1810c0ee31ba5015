package soak

// promise is a check of one promise over the history so far.
type invariant struct {
	name string
	// broken describes each break.
	find func(h *History) []string
	// atEnd is set if the check holds only for a complete history.
	needsComplete bool
}

// promises are all that a run checks.
var invariants = []invariant{
	{name: "at-most-once", find: duplicateExecutions},
	{name: "own-answers", find: mismatchedAnswers},
	{name: "true-refusals", find: falseRefusals},
	{name: "true-answers", find: answersWithoutExecution, needsComplete: true},
	{name: "one-owner", find: overlappingOwners},
	{name: "epochs-rise", find: decreasingEpochs},
	{name: "cold-upstreams", find: coldOverloads},
	{name: "changes-last", find: stalePresetReads},
	{name: "changes-kept", find: unreadablePreset, needsComplete: true},
	{name: "data-centre-out", find: executionsAfterOut},
	{name: "graceful-stop", find: requestsLostAtStop},
	{name: "grace-period", find: overdueStops},
	{name: "retry-budget", find: exceededRetryBudget, needsComplete: true},
	{name: "recovery", find: slowRecovery, needsComplete: true},
}

// check returns the broken promises of a history.
func checkInvariants(h *History) []Violation {
	var out []Violation
	for _, p := range invariants {
		if p.needsComplete && !h.Complete {
			continue
		}
		for _, detail := range p.find(h) {
			out = append(out, Violation{Promise: p.name, Detail: detail})
		}
	}
	return out
}
