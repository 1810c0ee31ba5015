package call

import (
	"time"

	"endivespring/internal/clock"
)

// NestedCall tells an executor of a request that its upstream makes for a run.
type NestedCall struct {
	// Service is the service that is called, Objective the latency objective of the route.
	Service   string
	Objective time.Duration
	// ParentDeadline is the deadline of the run, as the upstream stated it.
	ParentDeadline clock.Instant
}
