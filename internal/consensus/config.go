package consensus

import "time"

// Config holds the settings of a core.
type Config struct {
	ID NodeID
	// Peers are the names of all control processes in the settings.
	Peers []string
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
