package consensus

import "time"

// Config holds the fixed parameters of a Core.
type Config struct {
	ID NodeID
	// Peers names all control processes of a closed group, this one included,
	// or the seeds that a node of an open group asks for the membership.
	Peers []string
	// Open lets nodes outside Peers become members.
	Open bool
	// Voters is the number of voters up to which an open group promotes
	// learners.
	Voters int
	// MinCopies is the least number of voters' disks that must hold an entry
	// before it is committed, or all of them if there are fewer voters. A
	// majority is required in any case.
	MinCopies int
	// JoinsOnly keeps the node from forming the first membership: it only joins
	// an existing one.
	JoinsOnly bool
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without contact to a leader before a
	// node campaigns; jitter extends it to at most twice that. It must exceed
	// HeartbeatInterval.
	ElectionTimeout time.Duration
	// DriftMargin is subtracted from the leader's lease to allow for clock
	// drift.
	DriftMargin time.Duration
	// MaxBatch is the largest number of entries in one Append.
	MaxBatch int
	// Seed seeds the generator of election jitter.
	Seed uint64
}
