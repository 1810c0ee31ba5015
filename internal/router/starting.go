package router

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"endivespring/internal/caller"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
	"endivespring/internal/upstream"
)

// run starts all duties and servers.
func (n *Node) run(l *listeners) {
	dialect := upstream.Dialect(upstream.NativeDialect{})
	if n.frontEnd != nil {
		dialect = n.frontEnd.Dialect()
	}
	n.executor.startSender = func() {
		sender := &senderDuty{
			sender: upstream.NewSender(n.clock, n.events, n.settings.MaxBody, n.answerMemory, dialect), runs: n.executor.runs, outcomes: n.executor.outcomes,
		}
		n.group.Go("sender", sender.Run)
	}
	n.executor.ranges.start = func() { n.startRangeDuties(dialect) }
	n.group.Go("event-log", n.events.Run)
	n.group.Go("buffers", n.requestBuffers.Run)
	n.group.Go("entry", n.gateway.Run)
	n.group.Go("door", n.executor.Run)
	n.group.Go("session", n.session.Run)
	aborts := &abortDuty{aborts: n.executor.aborts}
	if dialect.Cancels() {
		aborts.canceller = upstream.NewCanceller()
	}
	n.group.Go("aborts", aborts.Run)
	if l.caller != nil {
		n.group.Go("caller-server", func(context.Context) error {
			return n.caller.App().Listener(caller.NewStreamListener(l.caller, n.callerMemory))
		})
	}
	n.serveApp("announce-server", n.announce, l.announce)
	n.serveApp("metrics-server", n.metrics, l.metrics)
	n.group.Go("peer-server", func(context.Context) error { return peer.Serve(n.grpc, n.guard.Listen(l.peer)) })
	if n.frontEnd != nil {
		n.serveFrontEnd(l)
		return
	}
	n.stopCallers = sync.OnceFunc(func() {
		n.group.Go("caller-shutdown", func(ctx context.Context) error {
			pause(ctx, time.Until(n.stopStarted.Add(stopLinger)))
			_ = n.caller.App().ShutdownWithContext(ctx)
			return n.callersDone.Put(ctx, struct{}{})
		})
	})
}

func (n *Node) startRangeDuties(dialect upstream.Dialect) {
	ranges, meter := &n.executor.ranges, metrics.NewRangeMeter(n.registry)
	for i := range grantSenders + releaseSenders {
		d := &rangeDuty{client: upstream.NewRangeClient(n.clock, dialect), meter: meter, requests: ranges.grants, responses: ranges.responses}
		if i >= grantSenders {
			d.requests = ranges.releases
		}
		n.group.Go("ranges", d.Run)
	}
}

// serveApp serves an application for few callers if there is a listener.
func (n *Node) serveApp(name string, app *fiber.App, listener net.Listener) {
	if listener != nil {
		n.group.Go(name, func(context.Context) error { return caller.ServeLimited(app, listener, n.events) })
	}
}

func (n *Node) serveFrontEnd(l *listeners) {
	callers, stopCallers := context.WithCancel(n.group.Context())
	n.stopCallers = stopCallers
	n.group.Go("front-callers", func(context.Context) error {
		defer func() { _ = n.callersDone.Put(context.Background(), struct{}{}) }()
		waiting, stopWaiting := context.WithTimeout(callers, presetWait)
		_, _ = n.hasPreset.Take(waiting) // without a preset in time, requests are refused
		stopWaiting()
		return n.frontEnd.ServeCallers(callers, caller.NewStreamListener(l.frontCaller, n.callerMemory), n.gatewayClient, n.settings, n.events)
	})
	n.group.Go("front-announcements", func(ctx context.Context) error {
		return n.frontEnd.ServeAnnouncements(ctx, l.frontAnnounce, n.executor.notifications, n.settings, n.events)
	})
	n.group.Go("front-readiness", func(ctx context.Context) error {
		return n.frontEnd.ServeReadiness(ctx, l.frontReady, n.readiness.ready, n.events)
	})
}
