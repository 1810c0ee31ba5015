package soak

import "time"

// Bounds of the promises.
const (
	// recoveryBound is how long after a loss keys are served again, by the
	// users' target.
	recoveryBound = 2 * time.Second
	// restartTime is how long a process takes to start and to be known: an
	// upstream announces itself every 0.5 s, a renewal takes 0.3 s.
	restartTime = time.Second
	// repairTime is how long an emptied control process takes to be a voter
	// again; a second loss before that may take acknowledged changes with it.
	rejoinTime = 6 * time.Second
	// servedShare is the share of requests served in time, by the users' target
	// for 99 in 100 requests.
	minServedShare = 0.99
	// graceBound is how long a process may take to end after SIGTERM: the
	// default grace of a router and a second for its own end.
	graceBound = 21 * time.Second
	// operationDeadline is the longest time that a request of the soak may
	// take; a request taken before its data centre went out may run as late.
	operationDeadline = 2 * time.Second
)
