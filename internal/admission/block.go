package admission

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	// blockTime is the length of a block: that of a slow phase of a busy VM, so that
	// such a phase is in one or two blocks.
	blockTime = 400 * time.Millisecond
	blockRuns = 8 // fewest runs in a block; with fewer, it goes on
)

// block is a stretch of time under one limit outside trials.
type block struct {
	began clock.Instant
	limit int
	runs  int
	// near is the number of runs that started near the limit.
	near int
	// log is the sum of the logarithms of the normalized run times, load that of the
	// concurrencies.
	log  float64
	load float64
}

func (b *block) add(limit, concurrency int, log float64) {
	b.runs++
	b.log += log
	b.load += float64(concurrency)
	if isNear(concurrency, limit) {
		b.near++
	}
}

func (b *block) complete(now clock.Instant) bool {
	return now.Sub(b.began) >= blockTime && b.runs >= blockRuns
}

// full reports whether the limit bounded the block.
func (b *block) full() bool { return float64(b.near) >= fullShare*float64(b.runs) }

// throughput returns the logarithm of the relative throughput.
func (b *block) throughput() float64 {
	return math.Log(b.load/float64(b.runs)) - b.log/float64(b.runs)
}
