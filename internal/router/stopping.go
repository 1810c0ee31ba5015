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
	n.shutdown()
}

// stopFrontEnd drains a router whose upstream may outlive it. While it lingers, the
// readiness check fails, so that callers turn to other routers. The session is
// left to expire instead of being closed, so that a router that restarts soon
// takes over the ranges of keys that the upstream holds.
func (n *Node) stopFrontEnd(ctx context.Context) {
	linger := time.NewTimer(n.settings.LingerTime())
	defer linger.Stop()
	_ = n.executor.stop.Put(ctx, stopRetire)
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	n.stopCallers()
	_, _ = n.callersDone.Take(ctx)
	_ = n.executor.stop.Put(ctx, stopFinish)
	_, _ = n.executor.drained.Take(ctx)
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
