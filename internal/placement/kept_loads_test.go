package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// TestKeptLoadsAreBounded keeps and restores the loads of a service with 3,600 ranges: no
// more rows than the bound, the totals of its parts unchanged.
func TestKeptLoadsAreBounded(t *testing.T) {
	f := newSpreadFixture(t, 150, Policy{Interleave: 6, ByCapacity: true})
	f.converge(t)
	space := f.state.View.KeySpaces["s"].Clone()
	for key := uint32(0); key < fleet.KeyCount; key += 18 {
		space.Split(key)
	}
	f.state.View.KeySpaces["s"] = space
	f.setDenseRegion(1000)
	f.loads.AddRunTime("br03", 80*time.Millisecond)
	f.loads.AddLimit("br03", 9, 7)
	kept := f.loads.Kept(f.state.View, "s")
	assert.Assert(t, len(space.Ranges) > 3600 && len(kept.LastKeys) <= fsm.MaxKeptRows && len(kept.LastKeys) > 800)
	result, _ := f.state.Apply(1, &fsm.Command{KeepLoads: kept})
	assert.Assert(t, result.Accepted, result.Reason)
	restored := RestoreKeyLoads(kept)
	for _, part := range [][2]uint32{{0, fleet.KeyCount - 1}, {29900, 31100}} {
		known, again := f.loads.measured(part[0], part[1]), restored.measured(part[0], part[1])
		assert.Assert(t, math.Abs(known-again) < 0.02*1000, "%v: %.1f, restored %.1f", part, known, again)
	}
	assert.Equal(t, restored.runTimes["br03"], 80*time.Millisecond)
	assert.Assert(t, math.Abs(restored.limits["br03"]-8.6) < 0.001)
	assert.Assert(t, restored.Settling("br03"), "kept loads are no basis for moves")
}

// TestInvalidKeptLoadsAreRejected checks the bounds of what is replicated.
func TestInvalidKeptLoadsAreRejected(t *testing.T) {
	f := newSpreadFixture(t, 1, Policy{})
	for _, kept := range []fsm.KeptLoads{
		{Service: "other"}, {Service: "s", LastKeys: []uint32{1}}, {Service: "s", LastKeys: []uint32{5, 5}, MilliRates: []uint32{1, 1}},
		{Service: "s", LastKeys: []uint32{fleet.KeyCount}, MilliRates: []uint32{1}}, {Service: "s", Upstreams: make([]fsm.UpstreamSpeed, fsm.MaxKeptRows+1)},
	} {
		result, _ := f.state.Apply(1, &fsm.Command{KeepLoads: &kept})
		assert.Assert(t, !result.Accepted, "%s %v", kept.Service, kept.LastKeys)
	}
}
