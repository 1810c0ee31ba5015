package memory

import "sync/atomic"

// Reservation is what one user has withdrawn from a budget. It is used by one goroutine, but
// any may release it. A nil reservation holds nothing.
type Reservation struct {
	budget *Budget
	taken  atomic.Int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow withdraws what is lacking to hold the given number of bytes, and reports whether that
// was free.
func (r *Reservation) Grow(bytes int) bool {
	lacking := bytes - int(r.taken.Load())
	if lacking <= 0 {
		return true
	}
	if !r.budget.Take(lacking) {
		return false
	}
	r.taken.Add(int64(lacking))
	return true
}

// Taken returns the number of bytes that are held.
func (r *Reservation) Taken() int { return int(r.taken.Load()) }

// Release returns what is held to the budget. The reservation may grow again.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.Give(int(r.taken.Swap(0)))
	}
}
