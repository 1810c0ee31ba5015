package gateway

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Request is a caller's request at the gateway.
type Request struct {
	// Token correlates the answer with the caller's connection.
	Token     uint64
	ID        string
	Service   string
	Operation string
	Key       string
	// Resend is set if the caller states that it sent the request before.
	Resend bool
	// Timeout is the caller's own limit, or zero.
	Timeout time.Duration
	// Received is when the request arrived, or zero for now. Its limits count from
	// then, since it may have waited before it came here.
	Received clock.Instant
	Body     []byte
	// Method, Target, Path, Host and Header are those of an HTTP request, which is
	// matched to a route. Method is empty for an operation called by name.
	Method string
	// Target is the path and query as the caller sent them, Path the path alone.
	Target string
	Path   string
	Host   string
	Header []call.HeaderField
	// KeyNumber is the key of a request to a ranged service, if Numbered is set.
	KeyNumber uint32
	Numbered  bool
	// Nested is set if the upstream beside this gateway sends the request on behalf
	// of one that it runs.
	Nested bool
	// Delegated is set if an executor that keeps the deduplication record of the
	// request sends it on to be run elsewhere; Exclude is that executor's router.
	Delegated bool
	Exclude   fleet.RouterID
}

// receivedAt returns the instant from which a request's limits count.
func (r *Request) receivedAt(now clock.Instant) clock.Instant {
	if r.Received == 0 {
		return now
	}
	return min(now, r.Received)
}
