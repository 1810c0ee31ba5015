package gateway

import "time"

const (
	hedgeDelayMedians = 2                // minimum hedge delay in medians of the latency
	minHedgeDelay     = time.Millisecond // absolute minimum of the hedge delay
	medianQuantile    = 0.5
	hedgeDelayRefresh = 16 // samples after which the hedge delay is recomputed
)

// serviceState holds the retry and hedge budgets of a service and the latencies
// from which its hedge delay is computed.
type serviceState struct {
	retryBudget *tokenBucket
	hedgeBudget *tokenBucket
	// firstCalls holds the latencies of the first calls of requests that may be
	// hedged. Hedges are not counted.
	firstCalls latencyHistogram
	// cachedHedgeDelay is the last computed hedge delay, valid for samplesLeft more
	// samples.
	cachedHedgeDelay time.Duration
	samplesLeft      int
	// served is the rate of requests that were served, returns when refused ones are due
	// back.
	served  rateMeter
	returns returnSchedule
}

func newServiceState(burst float64) *serviceState {
	return &serviceState{retryBudget: newTokenBucket(burst), hedgeBudget: newTokenBucket(burst)}
}

// setBurst sets the burst of both budgets.
func (s *serviceState) setBurst(burst float64) {
	s.retryBudget.setBurst(burst)
	s.hedgeBudget.setBurst(burst)
}

// observe records the latency of the first call of a request that may be hedged.
func (s *serviceState) observe(latency time.Duration) {
	s.firstCalls.observe(latency)
	s.samplesLeft--
}

// hedgeDelay returns how long the first call may take before a hedge is sent: a
// quantile of the latencies, but at least twice their median, because with a
// narrow distribution a hedge sent at the quantile would not finish before the
// first call. It returns zero while there are too few samples.
func (s *serviceState) hedgeDelay(quantile float64) time.Duration {
	if s.samplesLeft > 0 {
		return s.cachedHedgeDelay
	}
	s.samplesLeft = hedgeDelayRefresh
	s.cachedHedgeDelay = s.firstCalls.quantile(quantile)
	if s.cachedHedgeDelay > 0 {
		s.cachedHedgeDelay = max(s.cachedHedgeDelay, hedgeDelayMedians*s.firstCalls.quantile(medianQuantile), minHedgeDelay)
	}
	return s.cachedHedgeDelay
}
