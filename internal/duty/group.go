// Package duty runs the long-lived goroutines of a process.
package duty

import (
	"context"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/ring"
)

// Group starts duties, names them and stops them together. The first duty that
// fails stops the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// failure is the error of the duty that failed first.
	failure atomic.Pointer[error]
	// running holds the numbers of duties that have not returned, by name. Who changes or reads
	// them takes the only item and puts it back.
	running *ring.Ring[map[string]int]
}

// NewGroup returns an empty group that stops when parent ends.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	g := &Group{ctx: ctx, cancel: cancel, running: ring.New[map[string]int]("running-duties", 1, ring.Wait)}
	_ = g.running.Put(context.Background(), map[string]int{})
	return g
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. A duty that returns an error or panics stops the group.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wg.Add(1)
	g.count(name, 1)
	go func() {
		defer g.wg.Done()
		defer g.count(name, -1)
		if err := runRecovering(g.ctx, run); err != nil {
			g.fail(eris.Wrapf(err, "duty %s", name))
		}
	}()
}

// count adds to the number of running duties of a name.
func (g *Group) count(name string, change int) {
	running, _ := g.running.Take(context.Background())
	running[name] += change
	if running[name] == 0 {
		delete(running, name)
	}
	_ = g.running.Put(context.Background(), running)
}

// Running returns the names of the duties that have not returned, in order.
func (g *Group) Running() []string {
	running, _ := g.running.Take(context.Background())
	names := slices.Sorted(maps.Keys(running))
	_ = g.running.Put(context.Background(), running)
	return names
}

// fail keeps the first failure and stops the group. A duty that returns
// context.Canceled because the group is stopping has not failed.
func (g *Group) fail(err error) {
	if g.ctx.Err() == nil || !eris.Is(err, context.Canceled) {
		g.failure.CompareAndSwap(nil, &err)
	}
	g.cancel()
}

// Stop asks every duty to return.
func (g *Group) Stop() { g.cancel() }

// Wait blocks until the group stops and every duty has returned. It returns the
// error of the duty that failed first, including failures while the group was
// stopping, or nil if none failed.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.wg.Wait()
	if failure := g.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// WaitFor is Wait with a limit on the time after the group has stopped. It also returns the
// names of the duties that have not returned by then.
func (g *Group) WaitFor(limit time.Duration) (outstanding []string, err error) {
	<-g.ctx.Done()
	ended := ring.NewReply[error]()
	go func() { ended.Send(g.Wait()) }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-ended.Out():
		return nil, err
	case <-timer.C:
	}
	if failure := g.failure.Load(); failure != nil {
		err = *failure
	}
	return g.Running(), err
}

// runRecovering turns a panic of run into an error with its stack.
func runRecovering(ctx context.Context, run func(ctx context.Context) error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return run(ctx)
}
