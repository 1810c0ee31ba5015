package controller

import (
	"time"

	"endivespring/internal/clock"
)

const (
	startTime   = 500 * time.Millisecond // wait after a join before an unserved service is divided
	startLimit  = 2 * time.Second        // longest wait after the first join
	settleTime  = 3 * time.Second        // wait after a join before shards move for balance
	settleLimit = 15 * time.Second       // longest wait after the first join
)

// settling knows whether upstreams are still joining. Those of a fleet that
// starts join one by one; without a wait each would cause moves.
type settling struct {
	first, last clock.Instant
	joining     bool
}

// join notes an upstream that joins now.
func (s *settling) join(now clock.Instant) {
	if !s.joining {
		s.first = now
	}
	s.last, s.joining = now, true
}

// starting reports whether a service that nobody serves should wait.
func (s *settling) starting(now clock.Instant) bool {
	return s.joining && now < min(s.last.Add(startTime), s.first.Add(startLimit))
}

// settling reports whether moves for balance should wait.
func (s *settling) settling(now clock.Instant) bool {
	s.joining = s.joining && now < min(s.last.Add(settleTime), s.first.Add(settleLimit))
	return s.joining
}

// next returns when starting or settling ends, or clock.Never.
func (s *settling) next(now clock.Instant) clock.Instant {
	switch {
	case s.starting(now):
		return min(s.last.Add(startTime), s.first.Add(startLimit))
	case s.settling(now):
		return min(s.last.Add(settleTime), s.first.Add(settleLimit))
	default:
		return clock.Never
	}
}
