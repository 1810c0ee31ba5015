package settings

import "sort"

const (
	// ownMemory is what a router takes without load and for interfaces other than the callers', in
	// bytes.
	ownMemory = 14 << 20
	// budgetedParts of all wholeParts of the rest are for budgets. What is left is for garbage.
	budgetedParts, wholeParts = 156, 170
	// Weights by which the budgets share what they have together.
	connectionWeight, requestWeight, answerWeight = 40, 68, 16
	// ordinaryBodies is for bodies beside one of the largest size, in bytes.
	ordinaryBodies = 4 << 20
	// Smallest budgets, in bytes.
	minConnectionMemory, minBodyMemory = 1 << 20, 64 << 10
	// maxUnit bounds the bytes for each unit of weight.
	maxUnit = 1 << 30
)

// Budgets are the bytes that callers' connections, the bodies of their requests, and answers may use
// in a router. Answers has that many twice, for those being read and those being sent, and one more
// answer may be sent.
type Budgets struct{ Connections, Requests, Answers int }

// Budgets returns the budgets in the settings, lowered if MemoryMB is too small for all of them. Then
// a body of the largest size and ordinary ones beside it keep their memory, up to three quarters of
// what there is.
func (r *Router) Budgets() Budgets {
	set := Budgets{r.ConnectionMemory, r.RequestMemory, r.AnswerMemory}
	available := int(r.MemoryMB*(1<<20)-ownMemory) / wholeParts * budgetedParts
	if r.MemoryMB == 0 || set.sum(r.MaxBody) <= available {
		return set
	}
	shared := set.share(available, r.MaxBody)
	if needed := min(set.Requests, r.MaxBody+ordinaryBodies); shared.Requests < needed {
		requests := min(needed, available/4*3)
		shared = Budgets{Connections: set.Connections, Answers: set.Answers}.share(available-requests, r.MaxBody)
		shared.Requests = requests
	}
	return Budgets{max(shared.Connections, minConnectionMemory), max(shared.Requests, minBodyMemory), max(shared.Answers, minBodyMemory)}
}

// sum returns what all budgets take.
func (b Budgets) sum(maxBody int) int {
	return b.Connections + b.Requests + 2*b.Answers + min(b.Answers, maxBody)
}

// share lowers budgets in proportion to their weights until their sum is no larger than what is
// available. Those that need less leave the rest to others.
func (b Budgets) share(available, maxBody int) Budgets {
	limited := func(unit int) Budgets {
		return Budgets{min(b.Connections, unit*connectionWeight), min(b.Requests, unit*requestWeight), min(b.Answers, unit*answerWeight)}
	}
	tooLarge := sort.Search(maxUnit, func(unit int) bool { return limited(unit).sum(maxBody) > available })
	return limited(max(0, tooLarge-1))
}
