package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGoneUpstreamsDoNotCount guards against a mean run time of upstreams that are gone, by
// which the capacity of the present ones would be judged, and against the loss of what is
// known of the present ones after 4,096 restarts.
func TestGoneUpstreamsDoNotCount(t *testing.T) {
	f := newRangeFixture(t, 2)
	f.loads.AddRunTime("br00", 100*time.Millisecond)
	f.loads.AddRunTime("br01", 140*time.Millisecond)
	f.loads.AddLimit("br01", 9, 7)
	limit := f.loads.limits["br01"]
	for i := range 5000 {
		f.loads.AddRunTime(fmt.Sprint("gone", i), time.Second)
		f.loads.AddLimit(fmt.Sprint("gone", i), 9, 9)
	}
	f.loads.Prune(1, f.state.View)
	assert.Equal(t, f.loads.meanRunTime(), 120*time.Millisecond)
	assert.Equal(t, f.loads.limits["br01"], limit)
	assert.Equal(t, len(f.loads.runTimes)+len(f.loads.limits), 3)
}
