package routes

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

func preset() *fleet.Preset {
	return &fleet.Preset{Routes: []fleet.Route{
		{Name: "short", Host: "h", Prefix: "/a/", Targets: []fleet.Target{{Service: "s"}}},
		{Name: "long", Host: "h", Prefix: "/a/b/", Targets: []fleet.Target{{Service: "t", Weight: 90}, {Service: "u", Weight: 10}}},
		{Name: "other", Host: "g", Prefix: "/", Targets: []fleet.Target{{Service: "v"}}},
	}}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(preset(), nil)
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b": "short", "/a/b/": "long"} {
		assert.Equal(t, table.Match("h", path).Route.Name, want, path)
	}
	assert.Assert(t, table.Match("h", "/b/") == nil)
	assert.Assert(t, table.Match("x", "/a/") == nil)
	assert.Equal(t, table.Match("g", "/anything").Route.Name, "other")
}

// TestTargetsShareByWeight checks that a split follows the weights, also across a change
// of the preset that leaves the route as it is.
func TestTargetsShareByWeight(t *testing.T) {
	table := NewTable(preset(), nil)
	counts := map[string]int{}
	for i := range 100 {
		if i == 33 {
			table = NewTable(preset(), table)
		}
		counts[table.Match("h", "/a/b/").Next()]++
	}
	assert.DeepEqual(t, counts, map[string]int{"t": 90, "u": 10})
}
