// Package ring provides the bounded queues through which duties communicate.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrFull is returned by Put on a full ring with the Refuse policy.
var ErrFull = eris.New("ring is full")

// Ring is a queue of fixed capacity between duties. Any number of goroutines
// may put and take; both block, without spinning, while they wait.
type Ring[T any] struct {
	name    string
	policy  Policy
	items   chan T
	refused atomic.Int64
	dropped atomic.Int64
}

// New returns an empty ring that holds up to capacity items.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{name: name, policy: policy, items: make(chan T, capacity)}
}

// Put appends an item. On a full ring it follows the ring's policy. It returns
// ErrFull if the item was refused, and the context's error if the context ends
// before there is space.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	switch r.policy {
	case Wait:
		return r.PutWait(ctx, item)
	case Refuse:
		return r.putRefuse(item)
	default:
		r.putDropOldest(item)
		return nil
	}
}

// PutWait appends an item and waits for space regardless of the ring's policy.
// It returns the context's error if the context ends first.
func (r *Ring[T]) PutWait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "put on ring %s", r.name)
	}
}

func (r *Ring[T]) putRefuse(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		r.refused.Add(1)
		return ErrFull
	}
}

func (r *Ring[T]) putDropOldest(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Take removes the oldest item. It waits for one until the context ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, eris.Wrapf(ctx.Err(), "take from ring %s", r.name)
	}
}

// Poll removes the oldest item if there is one, without waiting. Several goroutines may empty a
// ring with it at the same time.
func (r *Ring[T]) Poll() (item T, ok bool) {
	select {
	case item = <-r.items:
		return item, true
	default:
		return item, false
	}
}

// Out returns the receiving channel, for a duty that selects on several rings.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Name returns the ring's name.
func (r *Ring[T]) Name() string { return r.name }

// Depth returns the number of items held.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Capacity returns the largest number of items held.
func (r *Ring[T]) Capacity() int { return cap(r.items) }

// Refused returns how many items were refused since the ring was created.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Dropped returns how many items were discarded since the ring was created.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
