package router

import (
	"context"
	"strings"
	"time"

	"endivespring/internal/event"
)

// Stop shuts the process down gracefully: it releases the shards, drains requests
// in flight, closes the session and stops the duties. What is not done shortly before the end
// of the grace period is answered as it stands.
func (n *Node) Stop() {
	n.events.Record(event.ProcessStopping, event.F("name", n.settings.Name))
	schedule := newStopSchedule(n.settings)
	n.stopStarted = time.Now()
	ctx, cancel := context.WithDeadline(n.group.Context(), n.stopStarted.Add(schedule.end))
	defer cancel()
	n.tell(ctx, stopBegin)
	n.readiness.stopping.Store(true)
	n.caller.Stop()
	n.gatewayClient.Stop()
	if n.frontEnd != nil {
		n.stopFrontEnd(ctx, schedule)
	} else {
		n.stopNative(ctx, schedule)
	}
	n.tell(ctx, stopLinks)
	n.flushLinks(ctx)
	n.shutdown()
}

// stopNative drains a router whose callers use the native interface, and closes its session.
func (n *Node) stopNative(ctx context.Context, schedule stopSchedule) {
	n.tell(ctx, stopFinish)
	n.finish(ctx, schedule)
	_ = n.session.closing.Put(ctx, struct{}{})
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_, _ = n.session.closed.Take(ctx)
}

// stopFrontEnd drains a router whose upstream may outlive it. While it lingers, the
// readiness check fails, so that callers turn to other routers; the upstream stays in use
// until shortly before the end of that. Then the executor takes no new calls, and the
// front end refuses new requests but for those of the runs that the upstream still works
// on. The callers' listener closes last, so that no connection waits unaccepted
// meanwhile. The session is left to expire instead of being closed, so that a router that
// restarts soon takes over the ranges of keys that the upstream holds.
func (n *Node) stopFrontEnd(ctx context.Context, schedule stopSchedule) {
	lead := min(retireLead, n.settings.LingerTime())
	pause(ctx, n.settings.LingerTime()-lead)
	n.tell(ctx, stopRetire)
	pause(ctx, lead)
	n.gatewayClient.Refuse()
	n.tell(ctx, stopFinish)
	linksClosed := time.NewTimer(linkCloseTime)
	defer linksClosed.Stop()
	n.finish(ctx, schedule)
	select {
	case <-linksClosed.C:
	case <-ctx.Done():
	}
}

// tell has the gateway and the executor duty perform a step. Their rings have room for all.
func (n *Node) tell(ctx context.Context, step stopStep) {
	_ = n.executor.stop.Put(ctx, step)
	_ = n.gateway.stop.Put(ctx, step)
}

// finish waits until all requests are answered. Shortly before the end of the grace period it
// has the duties answer those that are left, in time for the answers to reach their callers.
func (n *Node) finish(ctx context.Context, schedule stopSchedule) {
	for _, due := range []struct {
		after time.Duration
		step  stopStep
	}{{schedule.waiting, stopWaiting}, {schedule.runs, stopRuns}, {schedule.requests, stopRequests}} {
		limited, cancel := context.WithDeadline(ctx, n.stopStarted.Add(due.after))
		drained := n.awaitDrained(limited)
		cancel()
		if drained || ctx.Err() != nil {
			return
		}
		n.tell(ctx, due.step)
	}
	n.stopCallers()
	_, _ = n.callersDone.Take(ctx)
}

// awaitDrained waits until the executor, the gateway and the callers' servers are drained, and
// reports whether they are. It goes on where the last wait ended.
func (n *Node) awaitDrained(ctx context.Context) bool {
	if !n.executorDrained {
		if _, err := n.executor.drained.Take(ctx); err != nil {
			return false
		}
		n.executorDrained = true
	}
	if n.frontEnd != nil && !n.gatewayDrained {
		if _, err := n.gateway.drained.Take(ctx); err != nil {
			return false
		}
		n.gatewayDrained = true
	}
	n.stopCallers()
	_, err := n.callersDone.Take(ctx)
	return err == nil
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

// flushLinks waits until the links of other routers have ended, at most flushTimeout and until
// the context ends.
func (n *Node) flushLinks(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	defer context.AfterFunc(limited, n.grpc.Stop)()
	n.grpc.GracefulStop()
}

// shutdown stops the duties and the servers. Requests that are open then can't be answered.
func (n *Node) shutdown() {
	n.group.Stop()
	n.grpc.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTime)
	defer cancel()
	_ = n.announce.ShutdownWithContext(ctx)
	_ = n.metrics.ShutdownWithContext(ctx)
	_ = n.caller.App().ShutdownWithContext(ctx)
}

// Wait blocks until the process has stopped and returns the error of the duty that
// failed, if any. It waits no longer than exitTime for the duties to end.
func (n *Node) Wait() error {
	<-n.group.Context().Done()
	n.shutdown()
	outstanding, err := n.group.WaitFor(exitTime)
	if len(outstanding) > 0 {
		n.events.Record(event.DutiesOutstanding, event.F("duties", strings.Join(outstanding, ",")))
	}
	return err
}
