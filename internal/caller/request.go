package caller

import (
	"net"

	"endivespring/internal/call"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
)

// Request is a caller's request, or the abandonment of one, queued for the gateway
// duty.
type Request struct {
	// Number identifies the request at its server.
	Number uint64
	// Abandoned is set if the caller has disconnected. Only Number is valid then.
	Abandoned bool
	Request   gateway.Request
	// Connection is that of the caller, or nil.
	Connection net.Conn
	// Reply must be sent exactly one answer.
	Reply ring.Reply[call.Answer]
}

// Disconnected reports whether the caller has closed its connection.
func (r *Request) Disconnected() bool { return peer.SocketStateOf(r.Connection) == peer.SocketClosed }
