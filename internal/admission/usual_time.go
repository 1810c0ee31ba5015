package admission

// usualTime is the run time of one operation without the effect of concurrency
// and of a stated slowdown.
type usualTime struct {
	runs float64
	// log is the mean of the logarithm of the run time in seconds.
	log float64
}

// add includes the logarithm of a run time. Before knownRuns it is their mean. Later
// it follows much more slowly than a concurrencyClass does, since it must not take up
// the effect of a concurrency that lasts.
func (u *usualTime) add(log float64) {
	u.runs = min(u.runs+1, usualRuns)
	share := u.runs
	if u.known() {
		share *= usualDelay
	}
	u.log += (log - u.log) / share
}

func (u *usualTime) known() bool { return u.runs > knownRuns }

const (
	// usualRuns bounds the weight of the usual time of an operation.
	usualRuns  = 400
	usualDelay = 8
)
