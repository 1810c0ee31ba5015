package controller

import (
	"time"

	"endivespring/internal/clock"
)

const (
	startDelay     = 500 * time.Millisecond // wait after a join before an unserved service is divided
	maxStartDelay  = 2 * time.Second        // longest wait after the first join
	settleDelay    = 3 * time.Second        // wait after a join before shards move for balance
	maxSettleDelay = 15 * time.Second       // longest wait after the first join
)

// settling knows whether upstreams are still joining. Those of a fleet that
// starts join one by one; without a wait each would cause moves.
type joinTracker struct {
	first, last clock.Instant
	joining     bool
}

// join notes an upstream that joins now.
func (s *joinTracker) record(now clock.Instant) {
	if !s.joining {
		s.first = now
	}
	s.last, s.joining = now, true
}

// starting reports whether a service that nobody serves should wait.
func (s *joinTracker) starting(now clock.Instant) bool {
	return s.joining && now < min(s.last.Add(startDelay), s.first.Add(maxStartDelay))
}

// settling reports whether moves for balance should wait.
func (s *joinTracker) settling(now clock.Instant) bool {
	s.joining = s.joining && now < min(s.last.Add(settleDelay), s.first.Add(maxSettleDelay))
	return s.joining
}

// next returns when starting or settling ends, or clock.Never.
func (s *joinTracker) deadline(now clock.Instant) clock.Instant {
	switch {
	case s.starting(now):
		return min(s.last.Add(startDelay), s.first.Add(maxStartDelay))
	case s.settling(now):
		return min(s.last.Add(settleDelay), s.first.Add(maxSettleDelay))
	default:
		return clock.Never
	}
}
