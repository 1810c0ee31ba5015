package consensus

import "time"

// Config holds the settings of a core.
type Config struct {
	ID NodeID
	// Peers are the names of all control processes in the settings, or of those
	// that a node of an open group may ask for the others.
	Peers []string
	// Open groups take nodes that are not among Peers.
	Open bool
	// Voters is the number of voters that an open group grows to.
	Voters int
	// Copies is the least number of disks that hold a committed entry; a
	// majority may need more.
	Copies int
	// JoinsOnly is set at a node that must not form the first membership.
	JoinsOnly bool
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader before a node
	// campaigns; the longest is twice that. It must exceed the interval.
	ElectionTimeout time.Duration
	// DriftMargin is subtracted from a leader's lease for clock drift.
	DriftMargin time.Duration
	// MaxBatch is the largest number of entries in one message.
	MaxBatch int
	// Seed seeds the source of election jitter.
	Seed uint64
}
