package fsm

import "endivespring/internal/fleet"

// MaxKeptRows bounds the rows of loads and of upstreams that are kept of a service.
const MaxKeptRows = 1024

// KeptLoads is the load of the keys of a service and the speeds of its upstreams, as the
// leader knew them last. The next leader plans with them until upstreams report to it. As a
// command, it replaces what was kept of the service.
type KeptLoads struct {
	Service string
	// LastKeys are the last keys of adjacent ranges, the first of which begins at key 0, and
	// MilliRates their loads in thousandths of a request a second.
	LastKeys, MilliRates []uint32
	Upstreams            []UpstreamSpeed
}

// valid reports whether the rows are within their bounds and the ranges in order.
func (k *KeptLoads) valid() bool {
	if len(k.LastKeys) != len(k.MilliRates) || len(k.LastKeys) > MaxKeptRows || len(k.Upstreams) > MaxKeptRows {
		return false
	}
	for i, last := range k.LastKeys {
		if last >= fleet.KeyCount || i > 0 && last <= k.LastKeys[i-1] {
			return false
		}
	}
	return true
}

// keepLoads replaces the kept loads of a service of the preset, and drops those of services
// that are not part of it any more.
func (s *State) keepLoads(k *KeptLoads) Result {
	if s.View.Preset == nil || s.View.Preset.Service(k.Service) == nil || !k.valid() {
		return Result{Reason: "not the loads of a service"}
	}
	for service := range s.KeptLoads {
		if s.View.Preset.Service(service) == nil {
			delete(s.KeptLoads, service)
		}
	}
	s.KeptLoads[k.Service] = k
	return Result{Accepted: true}
}
