package executor

import "endivespring/internal/fleet"

// leavingRange is a key range that is to become free: one that the upstream must release,
// or one that is still assigned to a boot that has ended.
type leavingRange struct {
	service string
	fleet.KeyRange
}

func (r *leavingRange) id() rangeID { return idOf(r.service, &r.KeyRange) }
