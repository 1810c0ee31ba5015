package controller

import "endivespring/internal/clock"

// Leadership is what the consensus duty reports about the node.
type Leadership struct {
	Leads bool
	Term  uint64
	// LeaseUntil is the instant until which no other node can lead.
	LeaseUntil clock.Instant
	// Leader is the name of the known leader, or empty.
	Leader string
	// Voters and Learners are the members of the log, as name/disk.
	Voters   []string
	Learners []string
	Commit   uint64
	Snapshot uint64
}
