package balancer

import (
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
)

// TestChosenDoorHasTheLeastEstimate checks that what is logged of a choice
// explains it: the chosen door has the least estimate among those compared.
func TestChosenDoorHasTheLeastEstimate(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(8, 2)...)
	b.serve(200, b.steady)
	for range 200 {
		router, ok := b.table.Choose(service, b.now, nil)
		assert.Assert(t, ok)
		considered := b.table.Considered()
		least := lo.MinBy(considered, func(x, y Estimate) bool { return x.Milliseconds < y.Milliseconds })
		assert.Equal(t, least.Router, router.ID, "%v", considered)
		assert.Assert(t, len(considered) >= 2 && len(lo.Uniq(considered)) == len(considered), "%v", considered)
		b.table.Sent(router.ID, b.now)
	}
}
