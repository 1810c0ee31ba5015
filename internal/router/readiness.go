package router

import "sync/atomic"

// readiness is the state behind the readiness check. A router is ready once it has had a
// lease of a view with a preset, and not any more when it is stopping.
type readiness struct {
	hasPreset atomic.Bool
	stopping  atomic.Bool
}

func (r *readiness) ready() bool { return r.hasPreset.Load() && !r.stopping.Load() }
