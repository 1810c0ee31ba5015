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

// slowdown is the newest slowdown that the upstream has stated.
type slowdown struct {
	factor   float64
	statedAt clock.Instant
}

// observe takes the report of a response. One without a slowdown changes nothing.
func (s *slowdown) observe(now clock.Instant, report *admission.Report) {
	if report != nil && report.Slowdown > 0 {
		s.factor, s.statedAt = report.Slowdown, now
	}
}

// at returns the slowdown, which decays to 1 with its age, or zero if none was stated.
func (s *slowdown) at(now clock.Instant) float64 {
	if s.factor == 0 {
		return 0
	}
	return 1 + (s.factor-1)*math.Exp2(-float64(now.Sub(s.statedAt))/float64(slowdownHalfLife))
}
