package gateway

const (
	// fleetBurst is the number of retries that may follow each other after a
	// quiet time in the whole fleet; operators allow for 58 at least.
	fleetBurst = 50
	// mostBurst and leastBurst bound one router's part of it.
	mostBurst  = 10.0
	leastBurst = 1.0
)

// burstOf returns the part of one of several routers in the fleet's burst.
func burstOf(routers int) float64 {
	return min(mostBurst, max(leastBurst, fleetBurst/float64(max(1, routers))))
}

// budget is a token bucket filled by requests: a share of them may be retried.
type budget struct{ tokens, burst float64 }

func newBudget(burst float64) *budget { return &budget{tokens: burst, burst: burst} }

// earn adds the share that one request brings.
func (b *budget) earn(share float64) { b.tokens = min(b.burst, b.tokens+share) }

// bound sets how many retries may follow each other.
func (b *budget) bound(burst float64) {
	b.burst = burst
	b.tokens = min(burst, b.tokens)
}

// spend takes one token and reports whether there was one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
