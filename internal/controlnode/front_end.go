package controlnode

import (
	"context"
	"net"

	"endivespring/internal/event"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

// FrontEndSuffix is appended to the name under which a front end for operators
// is provided, since the front end of a router is provided under the name
// itself.
const FrontEndSuffix = "/operators"

// FrontEnd is an additional interface for operators, beside the built-in HTTP
// server.
type FrontEnd interface {
	// ServeOperators accepts operators' requests on a listener and puts them on
	// a ring, until the context ends.
	ServeOperators(ctx context.Context, listener net.Listener, requests *ring.Ring[operator.Request], events event.Recorder) error
}
