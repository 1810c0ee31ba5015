package executor

import "endivespring/internal/call"

const (
	// maxNestedUses bounds the services that the runs of an operation are known to call.
	maxNestedUses = 4
	// nestedUseWeight is the weight of a run in the average use.
	nestedUseWeight = 0.05
	// minNestedUse is the average number of calls below which a use is forgotten: after 60
	// runs without one.
	minNestedUse = 0.02
)

// nestedUses is the use of services by one run or, on average, by those of an operation.
type nestedUses []nestedUse

// find returns the use of a service, added if there is room, or nil.
func (u *nestedUses) find(service string) *nestedUse {
	for i := range *u {
		if (*u)[i].service == service {
			return &(*u)[i]
		}
	}
	if len(*u) >= maxNestedUses {
		return nil
	}
	*u = append(*u, nestedUse{service: service})
	return &(*u)[len(*u)-1]
}

// count adds a call to the use of a run.
func (u *nestedUses) count(nested *call.NestedCall) {
	use := u.find(nested.Service)
	if use == nil {
		return
	}
	use.calls++
	if use.objective == 0 || nested.Objective < use.objective {
		use.objective = nested.Objective
	}
}

// learn adds a run to the averages of its operation.
func (u *nestedUses) learn(run nestedUses) {
	for i := range *u {
		(*u)[i].calls *= 1 - nestedUseWeight
	}
	for i := range run {
		if use := u.find(run[i].service); use != nil {
			use.calls += nestedUseWeight * run[i].calls
			use.objective = run[i].objective
		}
	}
	kept := (*u)[:0]
	for _, use := range *u {
		if use.calls >= minNestedUse {
			kept = append(kept, use)
		}
	}
	*u = kept
}
