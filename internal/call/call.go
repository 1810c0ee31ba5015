// Package call holds what an entry sends to a door and gets back.
package call

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Call is one try of a request at one door.
type Call struct {
	// Number correlates the answer; it is unique at the entry.
	Number    uint64
	RequestID string
	Service   string
	Operation string
	Key       string
	// Idempotent calls may run more than once.
	Idempotent bool
	// Sharded calls must run at the owner of Shard.
	Sharded bool
	Shard   uint32
	// Ranged calls must run at the upstream that holds the key KeyNumber.
	Ranged    bool
	KeyNumber uint32
	// Resend is set if the caller may have sent the request before.
	Resend bool
	// Hedge is set on a second try sent while the first is under way.
	Hedge bool
	// Recorded is set if another door keeps the request's record.
	Recorded bool
	// Method, Target and Host are those of the caller's HTTP request; they are
	// empty for an operation that is called by its name.
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	Header []Field
	Body   []byte
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Nested calls are made by an upstream for a request that it runs.
	Nested bool
	// Deadline is when the answer is no longer wanted, on the local clock.
	Deadline clock.Instant
	// Objective is when an answer stops being in time, or zero if nobody said.
	Objective clock.Instant
}

// ShardID returns the shard of a sharded call.
func (c *Call) ShardID() fleet.ShardID { return fleet.ShardID{Service: c.Service, Number: c.Shard} }
