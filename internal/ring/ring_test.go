package ring

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPolicies checks what Put does on a full ring under each policy.
func TestPolicies(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, test := range []struct {
		policy           Policy
		name             string
		err              error
		first            int
		refused, dropped int64
	}{
		{Wait, "wait", context.Canceled, 1, 0, 0},
		{Refuse, "refuse", ErrFull, 1, 1, 0},
		{DropOldest, "drop-oldest", nil, 2, 0, 1},
	} {
		r := New[int]("r", 2, test.policy)
		assert.Equal(t, test.policy.String(), test.name)
		assert.NilError(t, r.Put(context.Background(), 1))
		assert.NilError(t, r.Put(context.Background(), 2))
		assert.Assert(t, errors.Is(r.Put(ended, 3), test.err), test.name)
		assert.Equal(t, r.Depth(), 2)
		assert.Equal(t, r.Capacity(), 2)
		assert.Equal(t, r.Refused(), test.refused)
		assert.Equal(t, r.Dropped(), test.dropped)
		assert.Assert(t, errors.Is(r.PutWait(ended, 4), context.Canceled))
		first, err := r.Take(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, first, test.first)
	}
	_, err := New[int]("empty", 1, Wait).Take(ended)
	assert.Assert(t, errors.Is(err, context.Canceled))
}

// TestItemsAreDeliveredOnce puts items from several goroutines under each
// policy and checks that each is taken exactly once, refused or dropped, and
// that the items of one producer arrive in order.
func TestItemsAreDeliveredOnce(t *testing.T) {
	const producers, items = 4, 3000
	for _, policy := range []Policy{Wait, Refuse, DropOldest} {
		r := New[[2]int]("r", 8, policy)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		var refused atomic.Int64
		var group sync.WaitGroup
		for producer := range producers {
			group.Go(func() {
				for i := range items {
					if errors.Is(r.Put(ctx, [2]int{producer, i}), ErrFull) {
						refused.Add(1)
					}
				}
			})
		}
		done := make(chan struct{})
		go func() { group.Wait(); close(done) }()
		taken, last := 0, [producers]int{-1, -1, -1, -1}
		for open := true; open || r.Depth() > 0; {
			select {
			case item := <-r.Out():
				taken++
				assert.Assert(t, item[1] > last[item[0]], "out of order: %v after %d", item, last[item[0]])
				last[item[0]] = item[1]
			case <-done:
				open, done = false, nil
			}
		}
		cancel()
		assert.Equal(t, int64(taken)+r.Refused()+r.Dropped(), int64(producers*items), policy.String())
		assert.Equal(t, refused.Load(), r.Refused())
		assert.Assert(t, policy != Wait || taken == producers*items)
	}
}

func TestReplyKeepsTheFirstAnswer(t *testing.T) {
	reply := NewReply[string]()
	reply.Send("first")
	reply.Send("second")
	assert.Equal(t, <-reply.Out(), "first")
	assert.Equal(t, reply.Refused(), int64(1))
	assert.Equal(t, reply.Name(), "reply")
}
