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

// FrontEnd is an additional protocol for callers and upstreams, beside the native
// one.
type FrontEnd interface {
	// ServeCallers serves callers' requests over client until the context ends. Then
	// it drains: it returns once it has answered all requests that it has read.
	ServeCallers(ctx context.Context, listener net.Listener, client *caller.GatewayClient, s *settings.Router, events event.Recorder) error
	// ServeAnnouncements puts the upstream's announcements and heartbeats on
	// notifications until the context ends.
	ServeAnnouncements(ctx context.Context, listener net.Listener, notifications *ring.Ring[upstream.Notification], s *settings.Router, events event.Recorder) error
	// ServeReadiness serves the readiness check until the context ends.
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool, events event.Recorder) error
	// Dialect returns the encoding of requests to the upstream.
	Dialect() upstream.Dialect
}
