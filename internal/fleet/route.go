package fleet

import "time"

// Route selects requests by host and path prefix and says which services they
// go to and how they are handled.
type Route struct {
	Name string
	// Host is the host name that requests must have, without a port.
	Host string
	// Prefix is the path prefix that requests must have. It begins and ends with
	// a slash; the longest matching prefix wins.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time until a caller gets an answer.
	Timeout time.Duration
	// Objective is the latency objective (SLO): a later answer is of less use.
	// It is zero if there is none.
	Objective time.Duration
	// Priority orders requests in the queues of executors; 0 is the highest.
	Priority int
	// MaxUpstreams is the largest number of upstreams that one request may be
	// sent to.
	MaxUpstreams int
	// Targets are the services that the requests are divided among by weight.
	Targets []Target
	// Split is set if the operator gave a traffic split, even for a single
	// target.
	Split bool
}
