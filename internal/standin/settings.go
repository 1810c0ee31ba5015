// Package standin is an upstream for tests and demonstrations: it announces
// itself, runs requests in a number of slots and keeps a ledger of each run.
package standin

import "time"

// Settings holds what a stand-in is and how it behaves at first.
type Settings struct {
	Name    string
	Service string
	Address string
	// Advertise is the address that it announces, if not Address.
	Advertise string
	Announce  string
	// Slots is the number of requests that run at once when warm.
	Slots int
	// ColdSlots is the number of requests that it bears right after a start.
	ColdSlots   int
	Connections int
	// ChecksGrants makes it refuse epochs older than the newest it saw and
	// expired grants.
	ChecksGrants bool
	// Latency is how long a run takes.
	Latency time.Duration
	// Ledger is the file that each run is appended to, or empty.
	Ledger string
	// WarmCompletions is the number of good completions after which it bears
	// one more request at once.
	WarmCompletions int
	// Behaviour is how it treats requests at first.
	Behaviour Behaviour
	// AnnounceEvery is the time between announcements.
	AnnounceEvery time.Duration
}

// bearsCold returns how many requests it bears at once when cold.
func (s *Settings) coldCapacity() int {
	if s.ColdSlots == 0 {
		return s.Slots
	}
	return s.ColdSlots
}
