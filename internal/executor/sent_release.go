package executor

import "endivespring/internal/clock"

// sentRelease is the state of a range that the upstream is asked to release.
type sentRelease struct {
	// number is that of the request in flight, 0 if there is none.
	number uint64
	// nextAt is when to send the next request, reportAt when to report next that the
	// range is released.
	nextAt, reportAt clock.Instant
	// released is set once the upstream confirmed the release.
	released bool
	handover string
}
