package routes

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

func testRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func preset() *fleet.Preset {
	return &fleet.Preset{Routes: []fleet.Route{
		{Name: "short", Host: "h", Prefix: "/a/", Targets: []fleet.Target{{Service: "s"}}},
		{Name: "long", Host: "h", Prefix: "/a/b/", Targets: []fleet.Target{{Service: "t", Weight: 90}, {Service: "u", Weight: 10}}},
		{Name: "other", Host: "g", Prefix: "/", Targets: []fleet.Target{{Service: "v"}}},
	}}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(preset(), nil, testRandom(1))
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
	table := NewTable(preset(), nil, testRandom(1))
	counts := map[string]int{}
	for i := range 100 {
		if i == 33 {
			table = NewTable(preset(), table, testRandom(2))
		}
		counts[table.Match("h", "/a/b/").Next()]++
	}
	assert.DeepEqual(t, counts, map[string]int{"t": 90, "u": 10})
}

// split returns a preset with one route that is split by weight.
func split(weights ...int) *fleet.Preset {
	route := fleet.Route{Name: "split", Host: "h", Prefix: "/", Split: true}
	for i, weight := range weights {
		route.Targets = append(route.Targets, fleet.Target{Service: string(rune('a' + i)), Weight: weight})
	}
	return &fleet.Preset{Routes: []fleet.Route{route}}
}

// Guards against a split that keeps to its earlier weights after a change: what the
// rotation owed a target under them was paid out under the new ones.
func TestNewWeightsHoldAtOnce(t *testing.T) {
	const requests = 20
	for used := range 10 {
		table := NewTable(split(900, 100), nil, testRandom(1))
		for range used {
			table.Match("h", "/").Next()
		}
		table = NewTable(split(1, 1), table, testRandom(2))
		first := 0
		for range requests {
			if table.Match("h", "/").Next() == "a" {
				first++
			}
		}
		assert.Equal(t, first, requests/2, "after %d requests under the earlier weights", used)
	}
}

// Guards against a split whose share is off while each of many routers gets few of its
// requests: all routers start their rotation with the same target.
func TestManyRoutersShareByWeight(t *testing.T) {
	const routers = 89
	for _, weights := range [][]int{{50, 50}, {60, 40}, {75, 25}, {90, 10}} {
		for each := 1; each <= 4; each++ {
			first := 0
			for router := range uint64(routers) {
				entry := NewTable(split(weights...), nil, testRandom(router)).Match("h", "/")
				for range each {
					if entry.Next() == "a" {
						first++
					}
				}
			}
			share, want := float64(first)/float64(routers*each), float64(weights[0])/100
			assert.Assert(t, share > want-0.1 && share < want+0.1, "weights %v, %d requests at each router: share %.2f", weights, each, share)
		}
	}
}
