package controller

import "endivespring/internal/clock"

// Leadership is the state of consensus on this node, as its duty reports it.
type Leadership struct {
	// IsLeader is set if this node is leader of Term.
	IsLeader bool
	Term     uint64
	// LeaseUntil is the expiry of the leader's lease: no other node can become
	// leader before it.
	LeaseUntil clock.Instant
	// Leader is the name of the known leader, or empty.
	Leader string
	// Voters and Learners are the members of the replicated log, as name/disk.
	Voters   []string
	Learners []string
	// Commit is the index of the last committed entry of the log, Snapshot that
	// of the last entry in the snapshot.
	Commit   uint64
	Snapshot uint64
}
