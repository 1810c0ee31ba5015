package controlnode

import (
	"context"
	"net"

	"endivespring/internal/event"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

// FrontEndSuffix is appended to a front end's name to form the name under which
// the injector provides it for operators. The name without the suffix provides
// the router's front end.
const FrontEndSuffix = "/operators"

// FrontEnd is an additional interface for operators, beside the built-in HTTP
// server.
type FrontEnd interface {
	// ServeOperators accepts operators' requests on a listener and puts them on
	// a ring, until the context ends.
	ServeOperators(ctx context.Context, listener net.Listener, requests *ring.Ring[operator.Request], events event.Recorder) error
}
