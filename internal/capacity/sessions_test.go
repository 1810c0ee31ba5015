package capacity

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/peer"
	"endivespring/internal/session"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

var (
	sessionCount  = flag.Int("sessions", 0, "sessions to hold open for TestHoldSessions; none if zero")
	sessionLeader = flag.String("leader", "", "peer address of the leader of control")
	sessionFleet  = flag.String("fleet", "measure", "name of the fleet")
	sessionTime   = flag.Duration("hold", 20*time.Second, "how long sessions are held")
)

// TestHoldSessions holds sessions of otherwise idle routers open, while
// scripts/session-cost.sh measures their cost at the control processes. Without the
// flag -sessions it is skipped.
func TestHoldSessions(t *testing.T) {
	if *sessionCount == 0 {
		t.Skip("runs from scripts/session-cost.sh")
	}
	ctx, cancel := context.WithTimeout(context.Background(), *sessionTime)
	defer cancel()
	var wg sync.WaitGroup
	failed := make(chan error, *sessionCount)
	for i := range *sessionCount {
		wg.Go(func() {
			if err := hold(ctx, i); err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("session %d: %w", i, err)
			}
		})
	}
	wg.Wait()
	close(failed)
	for err := range failed {
		assert.NilError(t, err)
	}
}

// hold keeps one session renewed until the context ends; when a stream ends, it opens
// a new one.
func hold(ctx context.Context, i int) error {
	connection, err := peer.Dial(*sessionLeader)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	core := session.New(newRouter(i), 300*time.Millisecond, rand.Text())
	timeSource := clock.NewMonotonic()
	for ctx.Err() == nil {
		attach(ctx, wirepb.NewSessionsClient(connection), core, timeSource)
	}
	return nil
}

// attach renews the session on one stream until the stream fails, the leader doesn't
// answer in time, a resynchronization or redirect is due, or the context ends.
func attach(ctx context.Context, client wirepb.SessionsClient, core *session.Core, timeSource clock.Clock) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attach(ctx)
	if err != nil {
		return
	}
	core.Connected(timeSource.Now())
	downs := make(chan session.ControlMessage)
	go func() {
		defer cancel()
		for {
			down, err := stream.Recv()
			if err != nil {
				return
			}
			message, err := wire.ToDown(down)
			if err != nil {
				return
			}
			select {
			case downs <- message:
			case <-ctx.Done():
				return
			}
		}
	}()
	for !core.TimedOut(timeSource.Now()) {
		if up, due := core.DueRenewal(timeSource.Now()); due && stream.Send(wire.FromUp(&up, *sessionFleet)) != nil {
			return
		}
		timer := time.NewTimer(max(time.Millisecond, core.Deadline().Sub(timeSource.Now())))
		select {
		case down := <-downs:
			now := timeSource.Now()
			if core.IsRejection(&down) {
				core.HandleRejection(now, &down, rand.Text())
			} else if _, resync := core.Receive(now, &down); resync || down.Redirect {
				return
			}
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Stop()
	}
}
