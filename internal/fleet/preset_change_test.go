package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// randomPreset returns a preset whose items are a random subset, with random contents.
func randomPreset(random *rand.Rand, version Version) *Preset {
	p := &Preset{Version: version, Number: uint64(version), Base: uint64(version) - 1, Limits: CallerLimits{MaxBody: random.IntN(3)}}
	for i := range 6 {
		if random.IntN(2) == 0 {
			p.Services = append(p.Services, Service{Name: fmt.Sprint("s", i), QueueLimit: random.IntN(2)})
		}
		if random.IntN(2) == 0 {
			p.Routes = append(p.Routes, Route{Name: fmt.Sprint("r", i), Timeout: time.Duration(random.IntN(2)), Targets: []Target{{Service: "s", Weight: random.IntN(2)}}})
		}
	}
	return p
}

// Guards against a configuration that differs between control and routers: a chain of
// differences must lead to the same preset as the preset itself.
func TestPresetChangesLeadToTheSamePreset(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		presets := []*Preset{randomPreset(random, 1)}
		changes := []*Change{{To: 1, Preset: presets[0]}}
		for version := Version(2); version < 7; version++ {
			latest := presets[len(presets)-1]
			next := randomPreset(random, version)
			difference := DiffPresets(latest, next)
			assert.Check(t, cmp.DeepEqual(difference.Apply(latest), next), "seed %d", seed)
			changes = append(changes, &Change{From: version - 1, To: version, PresetChange: difference})
			presets = append(presets, next)
		}
		for _, view := range mergedViews(t, changes, random.IntN(len(changes))) {
			assert.Check(t, cmp.DeepEqual(view.Preset, presets[len(presets)-1]), "seed %d", seed)
		}
	}
}

// A difference must not be applied without the preset from which it was made.
func TestPresetChangeNeedsAPreset(t *testing.T) {
	view := NewView()
	assert.Assert(t, !view.Apply(&Change{To: 1, PresetChange: &PresetChange{Version: 1}}))
	assert.Equal(t, view.Version, Version(0))
}

// TestPresetChangeHasOnlyWhatChanged checks the contents of a difference.
func TestPresetChangeHasOnlyWhatChanged(t *testing.T) {
	from := &Preset{Services: []Service{{Name: "a"}, {Name: "b"}}, Routes: []Route{{Name: "x", Targets: []Target{{Service: "a"}}}, {Name: "y"}}}
	to := &Preset{Version: 2, Services: []Service{{Name: "a"}, {Name: "c"}}, Routes: []Route{{Name: "x", Targets: []Target{{Service: "c"}}}, {Name: "y"}}}
	assert.DeepEqual(t, DiffPresets(from, to), &PresetChange{
		Version: 2, Services: []Service{{Name: "c"}}, RemovedServices: []string{"b"}, RemovedRoutes: []string{},
		Routes: []Route{{Name: "x", Targets: []Target{{Service: "c"}}}},
	})
}
