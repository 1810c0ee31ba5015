// Package memory bounds what requests and answers may use in a process at the same time, and
// chooses who gives memory up when it runs out. Budgets count bytes; Buffers also allocates them.
package memory

import "sync/atomic"

// Budget is a number of bytes that several users share. It is safe for concurrent use.
type Budget struct {
	size int
	free atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{size: bytes}
	b.free.Store(int64(bytes))
	return b
}

// Take withdraws bytes and reports whether that many were free.
func (b *Budget) Take(bytes int) bool { return b.takeFor(bytes, 0) }

// takeFor withdraws bytes that replace others, which will soon come back, and reports whether
// that many were free together with those.
func (b *Budget) takeFor(bytes, replaced int) bool {
	if b.free.Add(-int64(bytes)) >= -int64(replaced) {
		return true
	}
	b.Give(bytes)
	return false
}

// Overdraw withdraws bytes even if they are not free, and reports whether it did: it does so only
// while the budget is not overdrawn.
func (b *Budget) Overdraw(bytes int) bool {
	for {
		free := b.free.Load()
		if free < 0 {
			return false
		}
		if b.free.CompareAndSwap(free, free-int64(bytes)) {
			return true
		}
	}
}

// Give returns bytes.
func (b *Budget) Give(bytes int) { b.free.Add(int64(bytes)) }

// Used returns the number of bytes that are withdrawn, which may be more than the budget.
func (b *Budget) Used() int { return b.size - int(b.free.Load()) }

// Left returns the number of free bytes, which others may take at any time.
func (b *Budget) Left() int { return int(max(0, b.free.Load())) }
