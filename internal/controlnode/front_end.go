package controlnode

import (
	"context"
	"net"

	"endivespring/internal/event"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

// FrontEndSuffix follows the name of a front end where it is provided, since a
// router's front end has the name itself.
const FrontEndSuffix = "/operators"

// FrontEnd is an interface for operators besides the project's own.
type FrontEnd interface {
	// ServeOperators turns operators' requests that come on a listener into
	// messages on a ring, until the context ends.
	ServeOperators(ctx context.Context, listener net.Listener, requests *ring.Ring[operator.Request], events event.Recorder) error
}
