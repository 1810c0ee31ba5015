package executor

import "time"

// overtaking is the work that arrives within a limited time and then goes before a job.
type overtaking struct {
	// slots is the arriving work per time, until the time for which it goes before.
	slots float64
	until time.Duration
}
