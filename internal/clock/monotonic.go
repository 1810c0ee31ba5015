package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is added to every reading, so that subtracting ordinary durations
// never yields a negative instant.
const origin = Instant(time.Hour)

// Monotonic reads the time since the VM booted. It includes time in which the
// VM was suspended, so that a lease expires on time even if its holder was
// suspended meanwhile; steps of the wall clock do not affect it.
type Monotonic struct{}

// NewMonotonic returns the clock, which has no state of its own.
func NewMonotonic() *Monotonic { return &Monotonic{} }

// Now returns the time since boot plus origin.
func (m *Monotonic) Now() Instant {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// Kernels without CLOCK_BOOTTIME fall back to CLOCK_MONOTONIC, which does not
		// advance while the VM is suspended.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return origin + Instant(now.Nano())
}
