package router

import (
	"time"

	"endivespring/internal/settings"
)

const (
	// refuseLead is how long before the end of the grace period a stopping router refuses what
	// waits, abortLead how long before it breaks off what its upstream runs, and answerLead
	// how long before it answers all that is open. A sender ends 100 ms after its run was
	// broken off, and the front ends look every 100 ms whether all is answered.
	refuseLead = 700 * time.Millisecond
	abortLead  = 400 * time.Millisecond
	answerLead = 250 * time.Millisecond
	// maxLeadShare is the largest share of the grace period that refuseLead takes. The others
	// are shortened with it.
	maxLeadShare = 0.25
)

// stopSchedule holds the times after the signal at which a stopping router takes the steps for
// requests that have not ended before, and the end of its grace period.
type stopSchedule struct {
	waiting, runs, requests, end time.Duration
}

func newStopSchedule(s *settings.Router) stopSchedule {
	end := s.GracePeriod()
	scale := min(1, maxLeadShare*float64(end)/float64(refuseLead))
	before := func(lead time.Duration) time.Duration { return end - time.Duration(scale*float64(lead)) }
	return stopSchedule{waiting: before(refuseLead), runs: before(abortLead), requests: before(answerLead), end: end}
}
