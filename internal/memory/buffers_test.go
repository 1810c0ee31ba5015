package memory

import (
	"context"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a process that holds more than its budget: what a request has used counts until
// it is collected, and the next one waits for that.
func TestBuffersCountUntilTheyAreCollected(t *testing.T) {
	const size = 1 << 20
	budget := NewBudget(size)
	buffers := NewBuffers(budget)
	first := buffers.Make(size)
	assert.Equal(t, len(first), size)
	part := first[size-1:]
	first = nil
	runtime.GC()
	assert.Assert(t, buffers.Make(1) == nil, "a part is in use")
	assert.Equal(t, budget.Left(), 0)
	runtime.KeepAlive(part)
	part = nil

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- buffers.Run(ctx) }()
	for range 20 { // one after the other
		assert.Assert(t, buffers.MakeWaiting(size, 0) != nil)
	}
	assert.Assert(t, buffers.MakeWaiting(size+1, 0) == nil)
	half := buffers.MakeWaiting(size/2, 0)
	whole := buffers.MakeWaiting(size, len(half)) // a body that outgrew its buffer
	assert.Assert(t, whole != nil && budget.Left() == 0 && budget.Used() > size)
	runtime.KeepAlive(half)
	cancel()
	assert.NilError(t, <-done)
}

// Guards against a wait without an end for memory that stays in use.
func TestBuffersInUseAreNotWaitedForForLong(t *testing.T) {
	buffers := NewBuffers(NewBudget(10 << 10))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = buffers.Run(ctx) }()
	used := buffers.Make(8 << 10)
	assert.Assert(t, buffers.MakeWaiting(3<<10, 0) == nil)
	runtime.KeepAlive(used)
	assert.Assert(t, buffers.MakeWaiting(3<<10, 0) != nil)
}
