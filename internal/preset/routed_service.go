package preset

import "endivespring/internal/fleet"

const (
	// routedRetryBudget is the largest share of requests that one router retries
	// at another upstream. Operators of routed services allow a share of 0.2
	// over the whole fleet; half of it is left for retries that routers cannot
	// see.
	routedRetryBudget = 0.1
	// routedQueueLimit is the number of requests that may be queued at one
	// executor. With this limit, few requests wait longer than an upstream takes
	// to run two requests per slot.
	routedQueueLimit = 18
)

// NewRoutedService returns a service that is reached through routes instead of
// operations. Since its callers never send a request twice under one ID, it has
// no window for deduplication records.
func NewRoutedService(name string, ranged bool, profile fleet.UpstreamProfile) fleet.Service {
	return fleet.Service{
		Name: name, Keyed: ranged, Ranged: ranged, RetryBudget: routedRetryBudget, QueueLimit: routedQueueLimit, Profile: profile,
	}
}
