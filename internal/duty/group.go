// Package duty runs the long-lived goroutines of a process.
package duty

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Group starts duties, names them and stops them together. The first duty that
// fails stops the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// failure is the error of the duty that failed first.
	failure atomic.Pointer[error]
}

// NewGroup returns an empty group that stops when parent ends.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. A duty that returns an error or panics stops the group.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		if err := runRecovering(g.ctx, run); err != nil {
			g.fail(eris.Wrapf(err, "duty %s", name))
		}
	}()
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

// runRecovering turns a panic of run into an error with its stack.
func runRecovering(ctx context.Context, run func(ctx context.Context) error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return run(ctx)
}
