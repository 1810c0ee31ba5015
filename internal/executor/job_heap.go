package executor

import (
	"container/heap"

	"endivespring/internal/clock"
)

const noIndex = -1 // index of a job that is in no heap

// jobHeap is a heap of jobs by rank, timer and arrival. A job is in one heap at
// most.
type jobHeap []*job

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
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

// Swap implements heap.Interface and keeps the indexes up to date.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = noIndex
	return last
}

// first returns the timer of the first job, or clock.Never without jobs.
func (h jobHeap) first() clock.Instant {
	if len(h) == 0 {
		return clock.Never
	}
	return h[0].timer
}

func (h *jobHeap) add(j *job) { heap.Push(h, j) }

// remove removes a job if this heap has it.
func (h *jobHeap) remove(j *job) {
	if j.index >= 0 && j.index < len(*h) && (*h)[j.index] == j {
		heap.Remove(h, j.index)
	}
}
