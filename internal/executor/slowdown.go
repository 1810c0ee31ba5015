package executor

import (
	"math"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/clock"
)

// slowdownHalfLife is the time in which what is known of a slowdown loses half its
// weight. Slow phases of a busy VM last some 400 ms.
const slowdownHalfLife = 200 * time.Millisecond

// usualWeight is the weight of a new report in the usual figure of an upstream. With some 30
// answers a second it covers a few slow phases.
const usualWeight = 0.02

// slowdown is the newest figure that the upstream has stated, relative to its usual one. The
// figures of a VM include its constant speed: a calm one may state 0.6 and another 1.4. Run
// times include the speed already.
type slowdown struct {
	factor   float64
	statedAt clock.Instant
	// usual is a moving average of the stated figures; the first reports count equally.
	usual   float64
	reports int
}

// observe takes the report of a response. One without a slowdown changes nothing.
func (s *slowdown) observe(now clock.Instant, report *admission.Report) {
	if report == nil || report.Slowdown <= 0 {
		return
	}
	s.factor, s.statedAt = report.Slowdown, now
	s.reports++
	s.usual += max(usualWeight, 1/float64(s.reports)) * (report.Slowdown - s.usual)
}

// at returns the slowdown relative to the usual one, which decays to 1 with its age, or zero
// if none was stated.
func (s *slowdown) at(now clock.Instant) float64 {
	if s.factor == 0 {
		return 0
	}
	return 1 + (s.factor/s.usual-1)*math.Exp2(-float64(now.Sub(s.statedAt))/float64(slowdownHalfLife))
}
