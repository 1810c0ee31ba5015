package standin

import "time"

// Behaviour is how a stand-in handles requests. It can be changed at run time by
// POST /behaviour.
type Behaviour struct {
	// LatencyMs is added to the duration of each execution, in milliseconds.
	LatencyMs int64 `json:"latencyMs"`
	// SlowFactor multiplies the duration of executions that start in a slow window:
	// the first SlowForMs of every SlowEveryMs milliseconds.
	SlowFactor  int64 `json:"slowFactor"`
	SlowForMs   int64 `json:"slowForMs"`
	SlowEveryMs int64 `json:"slowEveryMs"`
	// ShedEvery makes the stand-in refuse every n-th request; zero refuses none.
	ShedEvery int `json:"shedEvery"`
	// Fault applies to every FaultEvery-th answer; zero applies it to none.
	Fault      Fault `json:"fault"`
	FaultEvery int   `json:"faultEvery"`
	// LateMs is the delay of a late answer or of the second of two duplicates.
	LateMs int64 `json:"lateMs"`
}

// runTime returns the duration of an execution that starts the given time after the
// stand-in did.
func (b *Behaviour) runTime(base time.Duration, sinceStart time.Duration) time.Duration {
	total := base + milliseconds(b.LatencyMs)
	if b.SlowEveryMs > 0 && b.SlowFactor > 1 && sinceStart%milliseconds(b.SlowEveryMs) < milliseconds(b.SlowForMs) {
		total *= time.Duration(b.SlowFactor)
	}
	return total
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
