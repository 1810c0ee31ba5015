package executor

import (
	"container/heap"

	"endivespring/internal/clock"
)

const noIndex = -1 // index of a job in no heap

// jobHeap orders jobs by rank and timer, the earliest first. A job is in one heap at most.
type jobHeap []*job

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less orders jobs.
func (h jobHeap) Less(i, j int) bool { return before(h[i], h[j]) }

// before reports whether one job goes before another: by rank, by timer, then
// by arrival.
func before(a, b *job) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if a.timer != b.timer {
		return a.timer < b.timer
	}
	return a.run < b.run
}

// Swap exchanges two jobs.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = noIndex
	return last
}

// first returns the timer of the first job, or clock.Never.
func (h jobHeap) first() clock.Instant {
	if len(h) == 0 {
		return clock.Never
	}
	return h[0].timer
}

func (h *jobHeap) add(j *job) { heap.Push(h, j) }

// remove takes a job out if it is there.
func (h *jobHeap) remove(j *job) {
	if j.index >= 0 && j.index < len(*h) && (*h)[j.index] == j {
		heap.Remove(h, j.index)
	}
}
