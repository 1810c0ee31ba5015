// Package duty runs the long-lived goroutines of a process.
package duty

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/rotisserie/eris"
)

// Group starts duties, names them and stops them together. The first duty that
// fails stops the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
}

// NewGroup returns an empty group that stops when parent ends.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context that ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a duty. A duty that returns an error or panics stops the group.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		if err := protect(g.ctx, run); err != nil && g.ctx.Err() == nil {
			g.cancel(eris.Wrapf(err, "duty %s", name))
		}
	}()
}

// Stop asks every duty to return.
func (g *Group) Stop() { g.cancel(nil) }

// Wait waits for every duty to return. It returns the error of the duty that
// failed first, or nil if the group was stopped.
func (g *Group) Wait() error {
	<-g.ctx.Done()
	g.wg.Wait()
	if cause := context.Cause(g.ctx); !eris.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

func protect(ctx context.Context, run func(ctx context.Context) error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return run(ctx)
}
