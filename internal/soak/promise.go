package soak

// promise is a check of one promise over the history so far.
type promise struct {
	name string
	// broken describes each break.
	broken func(h *History) []string
	// atEnd is set if the check holds only for a complete history.
	atEnd bool
}

// promises are all that a run checks.
var promises = []promise{
	{name: "at-most-once", broken: ranTwice},
	{name: "own-answers", broken: foreignAnswers},
	{name: "true-refusals", broken: falseRefusals},
	{name: "true-answers", broken: inventedAnswers, atEnd: true},
	{name: "one-owner", broken: twoOwners},
	{name: "epochs-rise", broken: staleEpochs},
	{name: "cold-upstreams", broken: overloads},
	{name: "changes-last", broken: revertedChanges},
	{name: "changes-kept", broken: lostChanges, atEnd: true},
	{name: "data-centre-out", broken: workAfterOut},
	{name: "graceful-stop", broken: cutRequests},
	{name: "grace-period", broken: overdueProcesses},
	{name: "retry-budget", broken: spentBudget, atEnd: true},
	{name: "recovery", broken: slowRecovery, atEnd: true},
}

// check returns the broken promises of a history.
func check(h *History) []Violation {
	var out []Violation
	for _, p := range promises {
		if p.atEnd && !h.Complete {
			continue
		}
		for _, detail := range p.broken(h) {
			out = append(out, Violation{Promise: p.name, Detail: detail})
		}
	}
	return out
}
