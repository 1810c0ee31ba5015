package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// job is a call that the door admitted: queued, running or waited for.
type job struct {
	run      uint64
	call     call.Call
	tickets  []Ticket
	epoch    fleet.Epoch
	upstream fleet.Upstream
	started  clock.Instant
	phase    jobPhase
	record   *record
	// rank goes before timer in the queue; expires is when it is of no more use
	// to start the job.
	rank    int
	startBy clock.Instant
	// timer orders jobs in a heap, index is the place there or noIndex.
	timer clock.Instant
	index int
	// timedOut is set once the callers were told that the outcome is unknown.
	timedOut bool
	// away is set once the call was handed to another door.
	wasDelegated bool
}

// wanted reports whether anybody waits for the job.
func (j *job) hasWaiters() bool { return len(j.tickets) > 0 }

// drop removes a ticket.
func (j *job) dropTicket(ticket Ticket) {
	for i, other := range j.tickets {
		if other == ticket {
			j.tickets = append(j.tickets[:i], j.tickets[i+1:]...)
			return
		}
	}
}
