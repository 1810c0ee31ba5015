// Package standin provides an upstream for tests and demonstrations. A stand-in
// announces itself to its router, simulates the execution of requests in a fixed
// number of slots and writes a ledger of all executions.
package standin

import "time"

// Settings holds the parameters of a stand-in and its initial behaviour.
type Settings struct {
	Name    string
	Service string
	Address string
	// Advertise is the address that it announces; Address if empty.
	Advertise string
	// Announce is the address of the router that it announces itself to.
	Announce string
	// Slots is the number of concurrent requests once warm.
	Slots int
	// ColdSlots is the number of concurrent requests right after a start; zero means
	// Slots.
	ColdSlots   int
	Connections int
	// ChecksGrants makes it refuse expired grants and epochs older than the newest
	// it has seen for the shard.
	ChecksGrants bool
	// Latency is how long an execution takes.
	Latency time.Duration
	// Ledger is the file to which executions are appended; none if empty.
	Ledger string
	// WarmCompletions is the number of requests completed without cancellation or
	// time-out after which a stand-in that is warming up accepts one more concurrent
	// request.
	WarmCompletions int
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// AnnounceEvery is the time between two announcements.
	AnnounceEvery time.Duration
}

// coldCapacity returns the number of concurrent requests after a cold start.
func (s *Settings) coldCapacity() int {
	if s.ColdSlots == 0 {
		return s.Slots
	}
	return s.ColdSlots
}
