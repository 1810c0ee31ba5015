package balancer

import (
	"testing"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"
)

// TestChosenExecutorHasLeastEstimate checks that the logged estimates explain the choice:
// the chosen executor has the least one among those compared.
func TestChosenExecutorHasLeastEstimate(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(8, 2)...)
	s.serve(200, s.steady)
	for range 200 {
		router, ok := s.table.Choose(service, s.now, nil)
		assert.Assert(t, ok)
		considered := s.table.Compared()
		least := lo.MinBy(considered, func(x, y Estimate) bool { return x.Milliseconds < y.Milliseconds })
		assert.Equal(t, least.Router, router.ID, "%v", considered)
		assert.Assert(t, len(considered) >= 2 && len(lo.Uniq(considered)) == len(considered), "%v", considered)
		s.table.Sent(router.ID, s.now)
	}
}
