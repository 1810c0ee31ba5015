package executor

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	// RangeRequestTimeout bounds the wait for the answer to a grant. A connection that
	// misses it is reset, so that no grant arrives later than that after it was
	// written.
	RangeRequestTimeout = 400 * time.Millisecond
	// ReleaseTimeout bounds the wait for the answer to a release, which the upstream
	// sends after its work in progress has ended. The release is then sent again.
	ReleaseTimeout = 1500 * time.Millisecond
)

// RangeRequest grants a range of keys to the upstream or asks it to release one.
type RangeRequest struct {
	// Number identifies the request in its RangeResponse.
	Number      uint64
	Kind        RangeRequestKind
	Upstream    fleet.Upstream
	First, Last uint32
	Epoch       fleet.Epoch
	// Handover is what the last holder left; of grants only.
	Handover string
	// Until is when a granted lease must have ended, whenever the grant arrives
	// within RangeRequestTimeout of being written. MaxHold bounds the lease besides,
	// by the upstream's clock.
	Until   clock.Instant
	MaxHold time.Duration
	// Renewal is set if an earlier grant of the range was confirmed.
	Renewal bool
}

// Hold returns the lease to ask for in a grant that is written now, and false if
// too little is left for one. The upstream counts it from the arrival of the
// grant, on a clock that may be slow by clockDrift.
func (r *RangeRequest) Hold(now clock.Instant) (time.Duration, bool) {
	left := r.Until.Sub(now) - RangeRequestTimeout
	hold := min(r.MaxHold, time.Duration(float64(left)/(1+clockDrift)).Truncate(time.Millisecond))
	return hold, hold >= minHold
}

func (r *RangeRequest) id() rangeID {
	return rangeID{service: r.Upstream.Service, first: r.First, last: r.Last, epoch: r.Epoch}
}
