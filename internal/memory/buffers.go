package memory

import (
	"context"
	"runtime"
	"time"

	"endivespring/internal/ring"
)

const (
	// collectionInterval is the least time between two collections that are asked for.
	collectionInterval = 20 * time.Millisecond
	// collectionWait is how long a buffer waits for collections to free others.
	collectionWait = 250 * time.Millisecond
)

// Buffers makes slices that count for a budget until they are collected: what uses a slice may
// outlast the request that it was made for. It is safe for concurrent use.
type Buffers struct {
	budget *Budget
	// due requests a collection. freed signals that a buffer was collected.
	due, freed *ring.Ring[struct{}]
}

// NewBuffers returns buffers that share a budget. Run must be called to make room when it is
// used up.
func NewBuffers(budget *Budget) *Buffers {
	return &Buffers{
		budget: budget,
		due:    ring.New[struct{}]("collections", 1, ring.DropOldest), freed: ring.New[struct{}]("freed-buffers", 1, ring.DropOldest),
	}
}

// Run collects garbage when it is asked to, until the context ends.
func (b *Buffers) Run(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		if _, err := b.due.Take(ctx); err != nil {
			return nil
		}
		runtime.GC()
		pause.Reset(collectionInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

// Make returns a slice of the given length, or nil if the budget does not allow it now. In that
// case it asks for a collection.
func (b *Buffers) Make(length int) []byte { return b.replace(length, 0) }

func (b *Buffers) replace(length, replaced int) []byte {
	if !b.budget.takeFor(length, replaced) {
		_ = b.due.Put(context.Background(), struct{}{})
		return nil
	}
	buffer := make([]byte, length)
	if length > 0 {
		runtime.AddCleanup(&buffer[0], b.free, length)
	}
	return buffer
}

// MakeWaiting is Make, but waits for a short time until buffers that are not used any more have
// been collected. The new slice may overdraw the budget by the bytes of the one that it replaces,
// which is not used any more from then on.
func (b *Buffers) MakeWaiting(length, replaced int) []byte {
	if length > b.budget.size {
		return nil
	}
	limit := time.NewTimer(collectionWait)
	defer limit.Stop()
	retry := time.NewTicker(collectionInterval)
	defer retry.Stop()
	for {
		if buffer := b.replace(length, replaced); buffer != nil {
			b.tellNext()
			return buffer
		}
		select {
		case <-b.freed.Out():
		case <-retry.C:
		case <-limit.C:
			return nil
		}
	}
}

// tellNext lets another one that waits look for what is left.
func (b *Buffers) tellNext() {
	if b.budget.Left() > 0 {
		_ = b.freed.Put(context.Background(), struct{}{})
	}
}

func (b *Buffers) free(length int) {
	b.budget.Give(length)
	_ = b.freed.Put(context.Background(), struct{}{})
}
