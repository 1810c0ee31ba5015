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
	sessionLeader = flag.String("leader", "", "peer address of the leading control process")
	sessionFleet  = flag.String("fleet", "measure", "name of the fleet")
	sessionTime   = flag.Duration("hold", 20*time.Second, "how long sessions are held")
)

// TestHoldSessions holds sessions of routers that do nothing else, so that the
// cost of a session at control can be measured from outside. It runs only if
// asked for: scripts/session-cost.sh.
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

// hold renews one session until the context ends.
func hold(ctx context.Context, i int) error {
	connection, err := peer.Dial(*sessionLeader)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	stream, err := wirepb.NewSessionsClient(connection).Attach(ctx)
	if err != nil {
		return err
	}
	timeSource := clock.NewMonotonic()
	core := session.New(routerOf(i), 300*time.Millisecond, rand.Text())
	core.Connected(timeSource.Now())
	downs := make(chan session.Down)
	go func() {
		defer close(downs)
		for {
			down, err := stream.Recv()
			if err != nil {
				return
			}
			downs <- wire.ToDown(down)
		}
	}()
	for {
		if up, due := core.Due(timeSource.Now()); due {
			if err := stream.Send(wire.FromUp(&up, *sessionFleet)); err != nil {
				return err
			}
		}
		timer := time.NewTimer(max(time.Millisecond, core.Deadline().Sub(timeSource.Now())))
		select {
		case down, open := <-downs:
			if !open {
				return ctx.Err()
			}
			core.Receive(timeSource.Now(), &down)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		timer.Stop()
	}
}
