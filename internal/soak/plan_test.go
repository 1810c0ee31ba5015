package soak

import (
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/preset"
	"endivespring/internal/settings"
)

func drawPlan(seed int64) *Plan {
	p := &Plan{Seed: seed, Length: settings.Duration(20 * time.Second), Controls: 3, Routers: 6, Rate: 150}
	Draw(p)
	return p
}

func TestDrawIsDeterministic(t *testing.T) {
	assert.DeepEqual(t, drawPlan(7), drawPlan(7))
	assert.Assert(t, len(drawPlan(7).Faults) > 0)
}

// TestDrawnPlansAreValid guards against plans that can't be replayed, kinds that are
// never drawn and faults that last into the recovery phase.
func TestDrawnPlansAreValid(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range int64(200) {
		plan := drawPlan(seed)
		data, err := json.Marshal(plan)
		assert.NilError(t, err)
		var decoded Plan
		assert.NilError(t, settings.Parse("plan.json", data, &decoded))
		assert.DeepEqual(t, &decoded, plan)
		for _, f := range plan.Faults {
			seen[f.Kind] = true
			assert.Assert(t, f.end().Value() <= plan.Length.Value()-recoveryPhase)
		}
	}
	for _, w := range kindWeights {
		assert.Assert(t, seen[w.kind], "%s is never drawn", w.kind)
	}
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for text, problem := range map[string]string{
		`{"faults": [{"at": "1s", "kind": "kill", "target": "router-9"}]}`:         `faults[0].target`,
		`{"faults": [{"at": "1s", "kind": "wipe", "target": "router-1"}]}`:         `"wipe" applies to`,
		`{"faults": [{"at": "1s", "kind": "melt", "target": "router-1"}]}`:         `"melt" applies to`,
		`{"faults": [{"at": "1s", "kind": "cut", "target": "router-1>router-2"}]}`: `faults[0].target`,
		`{"controls": 2}`: `controls`,
		`{"speed": 2}`:    `speed`,
	} {
		assert.ErrorContains(t, settings.Parse("plan.json", []byte(text), &Plan{}), problem)
	}
}

func TestShrinkKeepsRequiredFaults(t *testing.T) {
	plan := drawPlan(3)
	assert.Assert(t, len(plan.Faults) > 6)
	a, b := plan.Faults[1], plan.Faults[5]
	runs := 0
	smaller, err := Shrink(plan, func(p *Plan) (bool, error) {
		runs++
		hasA, hasB := false, false
		for _, f := range p.Faults {
			hasA, hasB = hasA || f == a, hasB || f == b
		}
		return hasA && hasB, nil
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, smaller.Faults, []Fault{a, b})
	assert.Assert(t, runs < 4*len(plan.Faults), "%d runs", runs)
}

// TestRegressionPlansCanBeRead guards against changes of the format that invalidate
// the saved plans which once violated an invariant.
func TestRegressionPlansCanBeRead(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		assert.NilError(t, settings.Read(file, &Plan{}))
	}
}

// TestPresetsCanBeRead parses the presets of operator commands as control processes
// do.
func TestPresetsCanBeRead(t *testing.T) {
	for _, name := range newTopology(&Plan{Controls: 1, Routers: 2}).presets {
		data, err := json.Marshal(presetFile(name))
		assert.NilError(t, err)
		_, err = preset.Parse(name, data)
		assert.NilError(t, err)
	}
}
