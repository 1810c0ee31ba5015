package soak

// invariant is a property that every history must have.
type invariant struct {
	name string
	// find returns a description of each violation.
	find func(h *History) []string
	// needsComplete is set if the property holds only for complete histories.
	needsComplete bool
}

// invariants lists every check of a run. The names appear in reports.
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

// checkInvariants returns the violations in a history.
func checkInvariants(h *History) []Violation {
	var out []Violation
	for _, inv := range invariants {
		if inv.needsComplete && !h.Complete {
			continue
		}
		for _, detail := range inv.find(h) {
			out = append(out, Violation{Invariant: inv.name, Detail: detail})
		}
	}
	return out
}
