package duty

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errBroken = errors.New("broken")

func untilStopped(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestWait checks what Wait returns for each way in which duties end.
func TestWait(t *testing.T) {
	fails := func(context.Context) error { return errBroken }
	failsWhileStopping := func(ctx context.Context) error {
		<-ctx.Done()
		return errBroken
	}
	panics := func(context.Context) error { panic("no such shard") }
	for name, test := range map[string]struct {
		run  func(context.Context) error
		stop bool
		want []string
	}{
		"a failure stops the others":       {fails, false, []string{"duty d", "broken"}},
		"a panic is a failure":             {panics, false, []string{"duty d", "panic: no such shard", "group_test.go"}},
		"a stopped group did not fail":     {untilStopped, true, nil},
		"a failure while stopping is kept": {failsWhileStopping, true, []string{"duty d", "broken"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGroup(context.Background())
			g.Go("other", untilStopped)
			g.Go("d", test.run)
			if test.stop {
				g.Stop()
			}
			err := g.Wait()
			if test.want == nil {
				assert.NilError(t, err)
			}
			for _, text := range test.want {
				assert.ErrorContains(t, err, text)
			}
			assert.Assert(t, g.Context().Err() != nil)
		})
	}
}

// TestFirstFailureIsKept makes a second duty fail after the failure of the first
// has stopped the group: Wait must still return the first error.
func TestFirstFailureIsKept(t *testing.T) {
	g := NewGroup(context.Background())
	g.Go("second", func(ctx context.Context) error {
		<-ctx.Done()
		return errors.New("later")
	})
	g.Go("first", func(context.Context) error { return errBroken })
	assert.Error(t, g.Wait(), "duty first: broken")
	g.Go("late", untilStopped)
	assert.Error(t, g.Wait(), "duty first: broken")
}

func TestParentStopsTheGroup(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g := NewGroup(ctx)
	g.Go("d", untilStopped)
	cancel()
	assert.NilError(t, g.Wait())
}

// Guards against a process that does not exit because one of its duties does not return.
func TestWaitIsBounded(t *testing.T) {
	g := NewGroup(context.Background())
	release := make(chan struct{})
	g.Go("stuck", func(context.Context) error {
		<-release
		return nil
	})
	g.Go("d", untilStopped)
	g.Stop()
	outstanding, err := g.WaitFor(50 * time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, slices.Contains(outstanding, "stuck"))
	close(release)
	outstanding, err = g.WaitFor(time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, len(outstanding), 0)
	assert.NilError(t, g.Wait())
}
