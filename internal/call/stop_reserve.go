package call

import "time"

// stopRunMultiple is the multiple of a mean run time that must be left at a stopping router for
// another run. Run times spread widely, and a run that lasts longer is broken off.
const stopRunMultiple = 4.0

// StopReserve returns the time that a run with the given mean run time must have left at a
// stopping router.
func StopReserve(meanRunTime time.Duration) time.Duration {
	return time.Duration(stopRunMultiple * float64(meanRunTime))
}
