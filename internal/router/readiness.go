package router

import "sync/atomic"

// readiness is the state behind the readiness check. A router is ready if its view
// has a preset and it is not stopping.
type readiness struct {
	hasPreset atomic.Bool
	stopping  atomic.Bool
}

func (r *readiness) ready() bool { return r.hasPreset.Load() && !r.stopping.Load() }
