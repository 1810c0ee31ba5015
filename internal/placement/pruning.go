package placement

import (
	"maps"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Prune drops what must not affect plans any more: the upstreams that are not in the view,
// whose run times would count in the mean, and the moves of busy keys before busyKeyPause.
func (k *KeyLoads) Prune(now clock.Instant, view *fleet.View) {
	present := make(map[string]bool, len(view.Routers))
	for _, router := range view.Routers {
		present[router.Upstream.Boot] = true
	}
	retain(k.runTimes, present)
	retain(k.limits, present)
	retain(k.settling, present)
	retain(k.countedAt, present)
	for key, move := range k.busyMoves {
		if now.Sub(move.plannedAt) >= busyKeyPause {
			delete(k.busyMoves, key)
		}
	}
}

// retain deletes the entries of upstreams that are not present.
func retain[V any](values map[string]V, present map[string]bool) {
	maps.DeleteFunc(values, func(boot string, _ V) bool { return !present[boot] })
}
