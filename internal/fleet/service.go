package fleet

import "time"

// Service is the configuration of a service, as given by a preset.
type Service struct {
	Name string
	// Keyed services are partitioned by key: at any time one upstream owns each
	// key.
	Keyed bool
	// Ranged services have numeric keys below KeyCount, partitioned into
	// ranges instead of shards. They are keyed too.
	Ranged bool
	// Shards is the number of shards. It cannot change once the service exists,
	// since keys are hashed to shards by this number.
	Shards uint32
	// Operations are sorted by name.
	Operations []Operation
	// HedgeQuantile is the quantile of the latency, between 0 and 1, after which
	// an idempotent request of an unkeyed service is hedged. Zero turns hedging
	// off.
	HedgeQuantile float64
	// HedgeBudget is the largest share of requests that may be hedged.
	HedgeBudget float64
	// RetryBudget is the largest share of requests that may be retried.
	RetryBudget float64
	// QueueLimit is the largest number of requests queued at one executor.
	QueueLimit int
	// RecordWindow is how long an executor keeps the deduplication record of a
	// non-idempotent request. Zero means that callers never send a request twice
	// under one ID.
	RecordWindow time.Duration
	// Profile is the configuration of the service's upstreams.
	Profile UpstreamProfile
}

// Operation returns the operation with the given name and whether it exists.
func (s *Service) Operation(name string) (Operation, bool) {
	for _, op := range s.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}
