package controller

import (
	"time"

	"endivespring/internal/clock"
)

const (
	startDelay     = 500 * time.Millisecond // wait after the last join before a service without owners is assigned
	maxStartDelay  = 2 * time.Second        // longest such wait, counted from the first join
	settleDelay    = 3 * time.Second        // wait after the last join before shards move for balance
	maxSettleDelay = 15 * time.Second       // longest such wait, counted from the first join
)

// joinTracker delays placement while upstreams are joining. The upstreams of a
// fleet that starts join one by one, and without the delay each of them would
// cause moves.
type joinTracker struct {
	first, last clock.Instant
	joining     bool
}

// record starts or extends a series of joins: an upstream joins now.
func (t *joinTracker) record(now clock.Instant) {
	if !t.joining {
		t.first = now
	}
	t.last, t.joining = now, true
}

// delayFirstGrants reports whether a service without owners must wait for more
// upstreams.
func (t *joinTracker) delayFirstGrants(now clock.Instant) bool {
	return t.joining && now < min(t.last.Add(startDelay), t.first.Add(maxStartDelay))
}

// suspendRebalancing reports whether rebalancing must wait. Once it need not, the
// next join starts a new series.
func (t *joinTracker) suspendRebalancing(now clock.Instant) bool {
	t.joining = t.joining && now < min(t.last.Add(settleDelay), t.first.Add(maxSettleDelay))
	return t.joining
}

// deadline returns when the next of the two delays ends, or clock.Never.
func (t *joinTracker) deadline(now clock.Instant) clock.Instant {
	switch {
	case t.delayFirstGrants(now):
		return min(t.last.Add(startDelay), t.first.Add(maxStartDelay))
	case t.suspendRebalancing(now):
		return min(t.last.Add(settleDelay), t.first.Add(maxSettleDelay))
	default:
		return clock.Never
	}
}
