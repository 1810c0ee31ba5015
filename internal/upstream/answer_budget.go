package upstream

import "sync/atomic"

// AnswerBudget bounds the memory of the answers that all senders of a router read at
// the same time. It is safe for concurrent use.
type AnswerBudget struct{ free atomic.Int64 }

// NewAnswerBudget returns a budget of the given number of bytes.
func NewAnswerBudget(bytes int) *AnswerBudget {
	b := &AnswerBudget{}
	b.free.Store(int64(bytes))
	return b
}

// take withdraws bytes and reports whether that many were free.
func (b *AnswerBudget) take(bytes int) bool {
	if b.free.Add(-int64(bytes)) >= 0 {
		return true
	}
	b.give(bytes)
	return false
}

// give returns bytes.
func (b *AnswerBudget) give(bytes int) { b.free.Add(int64(bytes)) }

// left returns the number of free bytes, which other senders may take at any time.
func (b *AnswerBudget) left() int { return int(max(0, b.free.Load())) }
