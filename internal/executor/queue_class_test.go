package executor

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// TestLastJobOfClass adds and removes jobs at random and guards against a kept last job that
// is no longer the last, for which the wrong call would be refused.
func TestLastJobOfClass(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	class := &queueClass{}
	var jobs []*job
	for i := range 3000 {
		if len(jobs) == 0 || random.IntN(5) < 3 && len(jobs) < 20 {
			j := &job{run: uint64(i), timer: clock.Instant(random.IntN(10)), work: time.Second}
			class.add(j)
			jobs = append(jobs, j)
		} else {
			k := random.IntN(len(jobs))
			class.remove(jobs[k])
			jobs = slices.Delete(jobs, k, k+1)
		}
		assert.Equal(t, class.work, time.Duration(len(jobs))*time.Second)
		if len(jobs) == 0 || random.IntN(2) == 0 {
			continue
		}
		last := slices.MaxFunc(jobs, func(a, b *job) int {
			if before(a, b) {
				return -1
			}
			return 1
		})
		assert.Assert(t, class.last() == last, "step %d", i)
	}
}
