package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// job is an admitted call: queued, running or delegated.
type job struct {
	run      uint64
	call     call.Call
	tickets  []Ticket
	epoch    fleet.Epoch
	upstream fleet.Upstream
	started  clock.Instant
	// concurrency is the number of runs at the upstream right after the start.
	concurrency int
	phase       jobPhase
	record      *record
	// The queue is ordered by rank, then by timer. A job that has not started by
	// startBy is refused, since its answer would come too late.
	rank    int
	startBy clock.Instant
	// timer orders jobs of equal rank: the call's deadline, or when to give up
	// a delegated call. index is the position in the heap or noIndex.
	timer clock.Instant
	index int
	// timedOut is set once the callers were answered with may-have-run although
	// the run has not ended.
	timedOut bool
	// wasDelegated is set once the call was delegated. It is delegated at most
	// once.
	wasDelegated bool
}

// hasWaiters reports whether a caller still waits for the answer.
func (j *job) hasWaiters() bool { return len(j.tickets) > 0 }

func (j *job) dropTicket(ticket Ticket) {
	for i, other := range j.tickets {
		if other == ticket {
			j.tickets = append(j.tickets[:i], j.tickets[i+1:]...)
			return
		}
	}
}
