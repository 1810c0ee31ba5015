package gateway

import "endivespring/internal/clock"

// nestedService is a service that the upstream beside the gateway calls for its runs.
type nestedService struct {
	name     string
	calledAt clock.Instant
}
