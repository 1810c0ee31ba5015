package executor

import "endivespring/internal/fleet"

// rangeID identifies a key range under one epoch.
type rangeID struct {
	first, last uint32
	epoch       fleet.Epoch
}

func idOf(r *fleet.KeyRange) rangeID { return rangeID{first: r.First, last: r.Last, epoch: r.Epoch} }
