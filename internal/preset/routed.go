package preset

import "endivespring/internal/fleet"

const (
	// routedRetryBudget is the share of requests that one router tries again at
	// another upstream. Operators of routed services allow a share of 0.2 over
	// the whole fleet; half of it is left for what routers cannot see.
	routedRetryBudget = 0.1
	// routedQueueLimit is the number of requests that may wait at one door. Few
	// wait longer than an upstream takes for two of them per slot.
	routedQueueLimit = 18
)

// Routed returns a service that gets its requests by routes. Its callers never
// send a request twice under one id.
func Routed(name string, ranged bool, profile fleet.UpstreamProfile) fleet.Service {
	return fleet.Service{
		Name: name, Keyed: ranged, Ranged: ranged, RetryBudget: routedRetryBudget, QueueLimit: routedQueueLimit, Profile: profile,
	}
}
