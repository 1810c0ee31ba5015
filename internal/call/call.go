// Package call defines the messages between the gateway of a router and the
// executors: calls and their answers.
package call

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Call is one attempt of a request, sent by a gateway to one executor.
type Call struct {
	// Number correlates the answer with the call. It is unique at the gateway.
	Number    uint64
	RequestID string
	Service   string
	Operation string
	Key       string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Sharded calls may run only at the owner of Shard.
	Sharded bool
	Shard   uint32
	// Ranged calls may run only at the upstream that holds the key KeyNumber.
	Ranged    bool
	KeyNumber uint32
	// Resend is set if the caller may have sent the request before.
	Resend bool
	// Hedge is set on a second attempt sent while the first is in flight.
	Hedge bool
	// Recorded is set if another executor keeps the deduplication record of the
	// request.
	Recorded bool
	// Method, Target and Host are those of the caller's HTTP request. They are
	// empty for an operation called by name.
	Method string
	// Target is the path with the query, as sent by the caller.
	Target string
	Host   string
	Header []HeaderField
	Body   []byte
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Nested calls are made by an upstream on behalf of a request that it is
	// running.
	Nested bool
	// Deadline is the time on the local clock after which the answer is no
	// longer needed.
	Deadline clock.Instant
	// Objective is the time on the local clock by which the answer meets the
	// latency objective, or zero if there is none.
	Objective clock.Instant
}

// ShardID returns the shard of a sharded call.
func (c *Call) ShardID() fleet.ShardID { return fleet.ShardID{Service: c.Service, Number: c.Shard} }
