package gateway

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// Request is a caller's request at the entry.
type Request struct {
	// Token correlates the reply with the caller's connection.
	Token     uint64
	ID        string
	Service   string
	Operation string
	Key       string
	// Resend is set if the caller says that it sent the request before.
	Resend bool
	// Timeout is the caller's own limit, or zero.
	Timeout time.Duration
	Body    []byte
	// Method, Target, Path, Host and Header are those of an HTTP request, whose
	// route decides on the service; Method is empty for an operation that is
	// called by its name.
	Method string
	// Target is the path with the query as the caller sent it, Path the path alone.
	Target string
	Path   string
	Host   string
	Header []call.Field
	// KeyNumber is the key of a request of a ranged service, if Numbered is set.
	KeyNumber uint32
	Numbered  bool
	// Nested requests are made by the upstream beside this entry for a request
	// that it runs.
	Nested bool
	// Delegated requests come from a door that keeps the record; Exclude is
	// the door's own router.
	Delegated bool
	Exclude   fleet.RouterID
}
