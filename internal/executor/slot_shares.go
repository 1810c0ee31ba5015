package executor

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	// maxShares is the number of operations that are accounted each on its own. Others share
	// one account. Usual presets have at most 8 routes for a service.
	maxShares = 64
	// maxShareAge is the number of time constants after which the unit is set anew. Values
	// grow by e for each, and float64 holds e^700.
	maxShareAge = 30
	// forgottenShare is the part of a slot below which the demand of an operation without jobs
	// is forgotten when the unit is set anew.
	forgottenShare = 1e-6
)

// slotShares accounts for slot time by operation, with a decay of loadTimeConstant. Instead
// of decaying all values, it adds new ones in a unit that grows with time, so that a call
// costs the same whatever the number of operations.
type slotShares struct {
	// epoch is when the unit was a nanosecond.
	epoch        clock.Instant
	shares       map[shareKey]*operationShare
	asked, given float64
	// givenNested is the part of given that nested calls have had.
	givenNested float64
}

func newSlotShares() *slotShares { return &slotShares{shares: map[shareKey]*operationShare{}} }

// share returns the account of an operation's calls.
func (s *slotShares) share(key shareKey) *operationShare {
	share := s.shares[key]
	if share != nil {
		return share
	}
	if len(s.shares) >= maxShares {
		key = shareKey{nested: key.nested}
		if share = s.shares[key]; share != nil {
			return share
		}
	}
	share = &operationShare{nested: key.nested}
	s.shares[key] = share
	return share
}

// ask counts slot time that a call asks for.
func (s *slotShares) ask(now clock.Instant, share *operationShare, work time.Duration) {
	value := float64(work) * s.unit(now)
	share.asked += value
	s.asked += value
}

// give counts slot time that a call was given. A negative one corrects an estimate.
func (s *slotShares) give(now clock.Instant, share *operationShare, work time.Duration) {
	value := max(-share.given, float64(work)*s.unit(now))
	share.given += value
	s.countGiven(share, value)
}

func (s *slotShares) countGiven(share *operationShare, value float64) {
	s.given += value
	if share.nested {
		s.givenNested += value
	}
}

// demand returns the operation's share of the slot time asked for.
func (s *slotShares) demand(share *operationShare) float64 {
	if s.asked <= 0 {
		return 0
	}
	return share.asked / s.asked
}

// below reports whether an operation was given less than the given part of its share of the
// slot time asked for.
func (s *slotShares) below(share *operationShare, part float64) bool {
	return share.given*s.asked < part*share.asked*s.given
}

// unit returns the value of a nanosecond of slot time now.
func (s *slotShares) unit(now clock.Instant) float64 {
	age := float64(now.Sub(s.epoch)) / float64(loadTimeConstant)
	if age <= maxShareAge {
		return math.Exp(age)
	}
	decay := math.Exp(-age)
	s.epoch, s.asked, s.given, s.givenNested = now, 0, 0, 0
	for key, share := range s.shares {
		share.asked *= decay
		share.given *= decay
		s.asked += share.asked
		s.countGiven(share, share.given)
		if share.jobs == 0 && share.asked < forgottenShare*float64(loadTimeConstant) {
			delete(s.shares, key)
		}
	}
	return 1
}
