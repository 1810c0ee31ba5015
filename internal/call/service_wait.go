package call

import (
	"time"

	"endivespring/internal/clock"
)

// ServiceWait is the least wait of a nested call that the upstreams of a service have reported.
type ServiceWait struct {
	Service string
	Wait    time.Duration
	// ReportedAt is when the report arrived.
	ReportedAt clock.Instant
}
