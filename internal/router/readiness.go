package router

import "sync/atomic"

// readiness says whether the router takes callers' work: it has a view with a
// preset and is not stopping.
type readiness struct {
	informed atomic.Bool
	stopping atomic.Bool
}

// ready reports whether the router takes work.
func (r *readiness) ready() bool { return r.informed.Load() && !r.stopping.Load() }
