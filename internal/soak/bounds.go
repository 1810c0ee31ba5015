package soak

import "time"

// Bounds that the invariants check.
const (
	// recoveryBound is the users' target for the time from a failure until the
	// affected keys are served again.
	recoveryBound = 2 * time.Second
	// restartTime is how long a process takes to start and to be known to the
	// fleet: an upstream announces itself every 0.5 s and a lease renewal takes
	// 0.3 s.
	restartTime = time.Second
	// rejoinTime is how long a control process without data takes to become a
	// voter again. A second loss of data before that may lose acknowledged changes.
	rejoinTime = 6 * time.Second
	// minServedShare is the users' target: 99 of 100 requests are served in time. It
	// is applied to the sends that no send with an unknown outcome preceded.
	minServedShare = 0.99
	// graceBound is how long a process may take to exit after SIGTERM: a router's
	// default grace period and one second for its shutdown.
	graceBound = 21 * time.Second
	// operationDeadline is the longest deadline of a request. A request accepted
	// before its data centre was taken out of service may run for as long.
	operationDeadline = 2 * time.Second
)
