package placement

import (
	"math"
	"slices"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Kept returns the loads in the form that is replicated: the total of each range of the
// service, of several adjacent ones if there are more than fsm.MaxKeptRows, and the speeds
// of the upstreams of the view.
func (k *KeyLoads) Kept(view *fleet.View, service string) *fsm.KeptLoads {
	kept := &fsm.KeptLoads{Service: service}
	if space := view.KeySpaces[service]; space != nil {
		group := (len(space.Ranges) + fsm.MaxKeptRows - 1) / fsm.MaxKeptRows
		for ranges := range slices.Chunk(space.Ranges, group) {
			last := ranges[len(ranges)-1].Last
			kept.LastKeys = append(kept.LastKeys, last)
			kept.MilliRates = append(kept.MilliRates, milli(k.measured(ranges[0].First, last)))
		}
	}
	for _, router := range view.Routers {
		boot := router.Upstream.Boot
		if runTime, limit := k.runTimes[boot], k.limits[boot]; router.Serves(service) && (runTime > 0 || limit > 0) {
			kept.Upstreams = append(kept.Upstreams, fsm.UpstreamSpeed{Boot: boot, RunTime: runTime, MilliLimit: milli(limit)})
		}
	}
	kept.Upstreams = kept.Upstreams[:min(len(kept.Upstreams), fsm.MaxKeptRows)]
	return kept
}

func milli(value float64) uint32 { return uint32(min(math.MaxUint32, max(0, math.Round(1000*value)))) }

// RestoreKeyLoads returns the loads that an earlier leader kept. They are no basis for moves
// until the upstreams have reported.
func RestoreKeyLoads(kept *fsm.KeptLoads) *KeyLoads {
	k := NewKeyLoads()
	first := uint32(0)
	for i, last := range kept.LastKeys {
		k.Set(first, last, float64(kept.MilliRates[i])/1000)
		first = last + 1
	}
	for _, upstream := range kept.Upstreams {
		k.AddRunTime(upstream.Boot, upstream.RunTime)
		if upstream.MilliLimit > 0 {
			k.limits[upstream.Boot] = float64(upstream.MilliLimit) / 1000
		}
		k.unsettle(upstream.Boot)
	}
	return k
}
