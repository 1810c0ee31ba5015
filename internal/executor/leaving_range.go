package executor

import "endivespring/internal/fleet"

// leavingRange is a range of a service that the upstream is to release, or that an earlier
// start of an upstream beside the router held.
type leavingRange struct {
	service string
	fleet.KeyRange
}

func (r *leavingRange) id() rangeID { return idOf(r.service, &r.KeyRange) }
