package router

import (
	"context"
	"net"

	"endivespring/internal/caller"
	"endivespring/internal/event"
	"endivespring/internal/ring"
	"endivespring/internal/settings"
	"endivespring/internal/upstream"
)

// FrontEnd is an interface for callers and upstreams besides the project's own.
type FrontEnd interface {
	// ServeCallers turns callers' requests that come on a listener into questions
	// to a gate, until the context ends; then it answers what it has read.
	ServeCallers(ctx context.Context, listener net.Listener, gate *caller.Gate, s *settings.Router) error
	// ServeAnnouncements turns what the upstream says of itself into notices on a
	// ring, until the context ends.
	ServeAnnouncements(ctx context.Context, listener net.Listener, notices *ring.Ring[upstream.Notice], s *settings.Router, events event.Recorder) error
	// ServeReadiness says whether the router takes work, until the context ends.
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool) error
	// Dialect is how the upstream is spoken to.
	Dialect() upstream.Dialect
}
