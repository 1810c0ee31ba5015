package gateway

import "time"

const (
	hedgeMedians    = 2                // hedges wait for at least so many medians
	leastHedgeDelay = time.Millisecond // hedges wait for at least this long
	medianOfLatency = 0.5
	hedgeDelayEvery = 16 // samples after which the delay is computed anew
)

// serviceState is what the core keeps of a service.
type serviceState struct {
	retries *budget
	hedges  *budget
	// lookups are the latencies of the first calls of lookups.
	lookups latencyHistogram
	// delay is the hedging delay computed last, stale after due more samples.
	delay time.Duration
	due   int
}

func newServiceState(burst float64) *serviceState {
	return &serviceState{retries: newBudget(burst), hedges: newBudget(burst)}
}

// bound sets how many retries and hedges may follow each other.
func (s *serviceState) bound(burst float64) {
	s.retries.bound(burst)
	s.hedges.bound(burst)
}

// observe takes the latency of the first call of a lookup.
func (s *serviceState) observe(latency time.Duration) {
	s.lookups.observe(latency)
	s.due--
}

// hedgeDelay is how long the first call of a lookup may take before a second
// one is sent: a quantile of latencies. While latencies are close together, a
// hedge sent at that quantile would not end earlier than the first call, so it
// also waits for twice the median. Zero means that too little is known.
func (s *serviceState) hedgeDelay(quantile float64) time.Duration {
	if s.due > 0 {
		return s.delay
	}
	s.due = hedgeDelayEvery
	s.delay = s.lookups.quantile(quantile)
	if s.delay > 0 {
		s.delay = max(s.delay, hedgeMedians*s.lookups.quantile(medianOfLatency), leastHedgeDelay)
	}
	return s.delay
}
