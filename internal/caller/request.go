package caller

import (
	"endivespring/internal/call"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
)

// Request is a caller's request on its way to the entry duty.
type Request struct {
	// Number names the request at the server.
	Number uint64
	// Abandoned is set if the caller has gone away; only Number counts then.
	Abandoned bool
	Request   gateway.Request
	// Reply takes exactly one answer.
	Reply ring.Reply[call.Answer]
}
