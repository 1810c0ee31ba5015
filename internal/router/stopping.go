package router

import (
	"context"
	"time"

	"endivespring/internal/event"
)

// Stop shuts the process down gracefully: it releases the shards, drains requests
// in flight, closes the session and stops the duties. What is not done within the
// grace period is abandoned.
func (n *Node) Stop() {
	n.events.Record(event.ProcessStopping, event.F("name", n.settings.Name))
	ctx, cancel := context.WithTimeout(n.group.Context(), n.settings.GracePeriod())
	defer cancel()
	n.readiness.stopping.Store(true)
	n.caller.Stop()
	n.gatewayClient.Stop()
	if n.frontEnd != nil {
		n.stopFrontEnd(ctx)
		n.flushLinks()
		n.shutdown()
		return
	}
	linger := time.NewTimer(stopLinger)
	defer linger.Stop()
	_ = n.executor.stop.Put(ctx, stopFinish)
	_, _ = n.executor.drained.Take(ctx)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	_ = n.caller.App().ShutdownWithContext(ctx)
	_ = n.session.closing.Put(ctx, struct{}{})
	ctx, cancel = context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_, _ = n.session.closed.Take(ctx)
	_ = n.executor.stop.Put(ctx, stopLinks)
	n.flushLinks()
	n.shutdown()
}

// stopFrontEnd drains a router whose upstream may outlive it. While it lingers, the
// readiness check fails, so that callers turn to other routers; the upstream stays in use
// until shortly before the end of that. Then the executor takes no new calls, and the
// front end refuses new requests but for those of the runs that the upstream still works
// on. The callers' listener closes last, so that no connection waits unaccepted
// meanwhile. The session is left to expire instead of being closed, so that a router that
// restarts soon takes over the ranges of keys that the upstream holds.
func (n *Node) stopFrontEnd(ctx context.Context) {
	lead := min(retireLead, n.settings.LingerTime())
	pause(ctx, n.settings.LingerTime()-lead)
	_ = n.executor.stop.Put(ctx, stopRetire)
	pause(ctx, lead)
	n.gatewayClient.Refuse()
	_ = n.executor.stop.Put(ctx, stopFinish)
	linksClosed := time.NewTimer(linkCloseTime)
	defer linksClosed.Stop()
	_, _ = n.executor.drained.Take(ctx)
	n.stopCallers()
	_, _ = n.callersDone.Take(ctx)
	select {
	case <-linksClosed.C:
	case <-ctx.Done():
	}
	_ = n.executor.stop.Put(ctx, stopLinks)
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// flushLinks waits until the links of other routers have ended, at most flushTimeout.
func (n *Node) flushLinks() {
	abort := time.AfterFunc(flushTimeout, n.grpc.Stop)
	defer abort.Stop()
	n.grpc.GracefulStop()
}

func (n *Node) shutdown() {
	n.group.Stop()
	n.grpc.Stop()
	_ = n.announce.Shutdown()
	_ = n.metrics.Shutdown()
	_ = n.caller.App().Shutdown()
}

// Wait blocks until the process has stopped and returns the error of the duty that
// failed, if any.
func (n *Node) Wait() error {
	<-n.group.Context().Done()
	n.shutdown()
	return n.group.Wait()
}
