package executor

import "time"

// nestedUse is what runs use of a service through nested calls, of one run or on average.
type nestedUse struct {
	service string
	calls   float64
	// objective is the least one of the routes called.
	objective time.Duration
}
