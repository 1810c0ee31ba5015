// Package clock provides monotonic time as values that are passed into the cores
// (pure state machines).
package clock

import "time"

// Instant is a reading of a process's monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of different processes are not comparable.
type Instant int64

// Never is an instant after every reading.
const Never Instant = 1<<63 - 1

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Before reports whether i is earlier than other.
func (i Instant) Before(other Instant) bool { return i < other }
