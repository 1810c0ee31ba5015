package fleet

import "time"

// Route says which requests go to which service, and how they are handled.
type Route struct {
	Name string
	// Host is the host of the requests, without a port.
	Host string
	// Prefix begins the path of the requests; it begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is of full use.
	Objective time.Duration
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// MaxUpstreams is the number of upstreams that may get one request.
	MaxUpstreams int
	// Targets are the services that share the requests by weight.
	Targets []Target
	// Split is set if the operator gave weights, also for a single target.
	Split bool
}
