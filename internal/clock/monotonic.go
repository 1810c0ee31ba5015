package clock

import "time"

// Monotonic is the process's monotonic clock. Wall clock steps do not move it.
type Monotonic struct{ origin time.Time }

// NewMonotonic returns a clock with its origin one hour in the past, so that
// subtracting ordinary durations never yields a negative instant.
func NewMonotonic() *Monotonic { return &Monotonic{origin: time.Now().Add(-time.Hour)} }

// Now returns the current instant.
func (m *Monotonic) Now() Instant { return Instant(time.Since(m.origin)) }
