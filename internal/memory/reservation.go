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

// Force withdraws what is lacking to hold the given number of bytes, even if that is not free.
// Others then find nothing free until as much has come back.
func (r *Reservation) Force(bytes int) {
	if lacking := bytes - int(r.taken.Load()); lacking > 0 {
		r.budget.Give(-lacking)
		r.taken.Add(int64(lacking))
	}
}

// Overdraw withdraws what is lacking to hold the given number of bytes, and reports whether it
// did: only while the budget is not overdrawn.
func (r *Reservation) Overdraw(bytes int) bool {
	lacking := bytes - int(r.taken.Load())
	if lacking <= 0 {
		return true
	}
	if !r.budget.Overdraw(lacking) {
		return false
	}
	r.taken.Add(int64(lacking))
	return true
}

// Shrink gives back what exceeds the given number of bytes.
func (r *Reservation) Shrink(bytes int) {
	for {
		taken := r.taken.Load()
		if taken <= int64(bytes) {
			return
		}
		if r.taken.CompareAndSwap(taken, int64(bytes)) {
			r.budget.Give(int(taken) - bytes)
			return
		}
	}
}

// Taken returns the number of bytes that are held.
func (r *Reservation) Taken() int { return int(r.taken.Load()) }

// Release returns what is held to the budget. The reservation may grow again.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.Give(int(r.taken.Swap(0)))
	}
}
