package router

// stopStep is a step in the graceful shutdown of a router. The gateway and the executor duty
// are told of each.
type stopStep uint8

const (
	// stopBegin takes no more calls that can't be expected to end before stopRuns.
	stopBegin stopStep = iota
	// stopRetire withdraws the upstream, unless it holds ranges of keys, so that
	// callers and gateways turn to other routers.
	stopRetire
	// stopFinish accepts no new calls and finishes those that run. The gateways of other
	// routers are asked to send no more.
	stopFinish
	// stopWaiting refuses what no upstream works on yet. Nothing is started any more, and
	// only requests that may have run are retried, until stopRequests.
	stopWaiting
	// stopRuns breaks off the runs at the upstream and answers their callers.
	stopRuns
	// stopRequests answers the callers' requests that are still open.
	stopRequests
	// stopLinks ends the links of other routers, after the answers queued for them.
	stopLinks

	stopSteps // number of steps
)

var stopStepNames = [stopSteps]string{"begin", "retire", "finish", "refuse-waiting", "abort-runs", "end-requests", "end-links"}

// String returns the name in events.
func (s stopStep) String() string { return stopStepNames[s] }
