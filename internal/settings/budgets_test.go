package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against budgets that are together larger than the memory of the VM, and against lowered
// ones where they fit.
func TestBudgetsFitIntoTheMemory(t *testing.T) {
	const mebibyte = 1 << 20
	defaults := Budgets{40 * mebibyte, 68 * mebibyte, 64 * mebibyte}
	deployed := Budgets{40 * mebibyte, 68 * mebibyte, 16 * mebibyte}
	for name, c := range map[string]struct {
		memoryMB float64
		maxBody  int
		set      Budgets
		kept     bool
	}{
		"deployed, smallest VM": {184, 64 * mebibyte, deployed, true},
		"deployed, larger VM":   {284, 64 * mebibyte, deployed, true},
		"no limit":              {0, 64 * mebibyte, defaults, true},
		"all defaults":          {192, mebibyte, defaults, false},
		"large bodies":          {128, 64 * mebibyte, defaults, false},
		"small VM":              {64, mebibyte, defaults, false},
		"very small VM":         {32, 64 * mebibyte, deployed, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := Router{MemoryMB: c.memoryMB, MaxBody: c.maxBody, ConnectionMemory: c.set.Connections, RequestMemory: c.set.Requests, AnswerMemory: c.set.Answers}
			b := r.Budgets()
			t.Logf("%+v", b)
			assert.Equal(t, b == c.set, c.kept)
			assert.Assert(t, c.kept || b.sum(c.maxBody)+ownMemory < int(c.memoryMB)*mebibyte)
			assert.Assert(t, b.Connections > 0 && b.Answers > 0)
			assert.Assert(t, c.memoryMB == 32 || b.Requests >= c.maxBody+ordinaryBodies, "one body of the largest size")
		})
	}
}

// Guards against budgets of nothing where there is no memory.
func TestBudgetsAreNeverEmpty(t *testing.T) {
	for _, memoryMB := range []float64{0.1, 1, 14} {
		r := Router{MemoryMB: memoryMB, MaxBody: 64 << 20, ConnectionMemory: 40 << 20, RequestMemory: 68 << 20, AnswerMemory: 64 << 20}
		assert.Equal(t, r.Budgets(), Budgets{minConnectionMemory, minBodyMemory, minBodyMemory})
	}
}
