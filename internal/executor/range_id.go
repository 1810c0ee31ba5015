package executor

import "endivespring/internal/fleet"

// rangeID identifies a key range of a service under one epoch.
type rangeID struct {
	service     string
	first, last uint32
	epoch       fleet.Epoch
}

func idOf(service string, r *fleet.KeyRange) rangeID {
	return rangeID{service: service, first: r.First, last: r.Last, epoch: r.Epoch}
}
