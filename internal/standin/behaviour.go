package standin

import "time"

// Behaviour is how a stand-in treats requests. It can be changed while the
// stand-in runs.
type Behaviour struct {
	// LatencyMs is added to the time of each run, in milliseconds.
	LatencyMs int64 `json:"latencyMs"`
	// SlowFactor multiplies the time of runs that start in a slow window:
	// SlowForMs out of every SlowEveryMs milliseconds.
	SlowFactor  int64 `json:"slowFactor"`
	SlowForMs   int64 `json:"slowForMs"`
	SlowEveryMs int64 `json:"slowEveryMs"`
	// ShedEvery refuses every n-th request; zero refuses none.
	ShedEvery int `json:"shedEvery"`
	// Fault spoils every FaultEvery-th answer; zero spoils none.
	Fault      Fault `json:"fault"`
	FaultEvery int   `json:"faultEvery"`
	// LateMs is how long a late or duplicated answer is held back.
	LateMs int64 `json:"lateMs"`
}

// runTime returns how long a run that starts now takes.
func (b *Behaviour) runTime(base time.Duration, sinceStart time.Duration) time.Duration {
	total := base + milliseconds(b.LatencyMs)
	if b.SlowEveryMs > 0 && b.SlowFactor > 1 && sinceStart%milliseconds(b.SlowEveryMs) < milliseconds(b.SlowForMs) {
		total *= time.Duration(b.SlowFactor)
	}
	return total
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
