package memory

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a budget that shrinks or grows for good: what is taken comes back once,
// whoever releases it and however often.
func TestReservationsReturnWhatTheyHold(t *testing.T) {
	const size = 1000
	b := NewBudget(size)
	first, second := b.Reserve(), b.Reserve()
	assert.Assert(t, first.Grow(600) && first.Grow(500), "growing to less needs nothing")
	assert.Equal(t, first.Taken(), 600)
	assert.Assert(t, !second.Grow(401))
	assert.Equal(t, second.Taken(), 0)
	assert.Assert(t, second.Grow(400))
	assert.Equal(t, b.Left(), 0)
	first.Release()
	first.Release()
	assert.Equal(t, b.Left(), 600)
	var none *Reservation
	none.Release()
	second.Release()
	assert.Equal(t, b.Left(), size)

	var users sync.WaitGroup
	for range 8 {
		users.Go(func() {
			r := b.Reserve()
			for bytes := range 2000 {
				if !r.Grow(bytes) {
					r.Release()
				}
			}
			r.Release()
		})
	}
	users.Wait()
	assert.Equal(t, b.Left(), size)
}
