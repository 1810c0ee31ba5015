package gateway

const (
	// fleetBurst is the number of back-to-back retries that all routers together
	// may send after an idle period. A fleet of more routers than that exceeds it,
	// since each has at least minRouterBurst. Operators allow at least 58 retries
	// in 10 s, on top of a fifth of the requests.
	fleetBurst = 50
	// maxRouterBurst and minRouterBurst bound one router's part of fleetBurst.
	maxRouterBurst = 10.0
	minRouterBurst = 1.0
)

// routerBurst returns the bucket size of each router of a fleet of the given size.
func routerBurst(routers int) float64 {
	return min(maxRouterBurst, max(minRouterBurst, fleetBurst/float64(max(1, routers))))
}

// tokenBucket limits retries or hedges to a share of the requests: each request
// deposits a fraction of a token, and each extra call withdraws a whole one.
type tokenBucket struct{ tokens, burst float64 }

func newTokenBucket(burst float64) *tokenBucket { return &tokenBucket{tokens: burst, burst: burst} }

// deposit adds the fraction of a token that one request brings, up to the burst.
func (b *tokenBucket) deposit(share float64) { b.tokens = min(b.burst, b.tokens+share) }

// setBurst sets the size of the bucket and discards tokens above it.
func (b *tokenBucket) setBurst(burst float64) {
	b.burst = burst
	b.tokens = min(burst, b.tokens)
}

// withdraw takes one token and reports whether there was one.
func (b *tokenBucket) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
