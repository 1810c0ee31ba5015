package router

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/ring"
	"endivespring/internal/wire/wirepb"
)

// TestLinksToAWholeFleetFitInMemory checks the memory of the rings at both ends of
// a link against the budget of a router in the largest fleet: 32 MB for links to
// 2,400 routers.
func TestLinksToAWholeFleetFitInMemory(t *testing.T) {
	const links, budget = 100, 32 << 20 / 2400 // bytes a link
	var before, after runtime.MemStats
	kept := make([]any, 0, 2*links)
	runtime.ReadMemStats(&before)
	for range links {
		kept = append(kept, newLink("fleet", fleet.Router{ID: "r"}, nil, nil, nil, nil),
			ring.New[*wirepb.DoorDown]("link-answers", linkAnswerCapacity, ring.Refuse))
	}
	runtime.ReadMemStats(&after)
	used := (after.TotalAlloc - before.TotalAlloc) / links
	assert.Assert(t, used <= budget, "a link takes %d bytes, budget is %d", used, budget)
	runtime.KeepAlive(kept)
}
