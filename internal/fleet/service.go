package fleet

import "time"

// Service is a service as a preset defines it.
type Service struct {
	Name string
	// Keyed services are divided by key: one upstream owns each key.
	Keyed bool
	// Ranged services are keyed by number, and their upstreams hold ranges of keys.
	Ranged bool
	// Shards is the number of shards. It is fixed for the life of a service.
	Shards uint32
	// Operations are sorted by name.
	Operations []Operation
	// HedgeQuantile is the latency quantile, between 0 and 1, after which an
	// idempotent lookup of an unkeyed service is sent a second time; zero
	// turns hedging off.
	HedgeQuantile float64
	// HedgeBudget is the largest share of requests that may be hedged.
	HedgeBudget float64
	// RetryBudget is the largest share of requests that may be retried.
	RetryBudget float64
	// QueueLimit is the largest number of requests waiting at a door.
	QueueLimit int
	// RecordWindow is how long a door remembers non-idempotent request ids.
	// Zero means that callers never send a request twice under one id.
	RecordWindow time.Duration
	// Profile is what operators say of the service's upstreams.
	Profile UpstreamProfile
}

// Operation returns the operation with the given name.
func (s *Service) Operation(name string) (Operation, bool) {
	for _, op := range s.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}
