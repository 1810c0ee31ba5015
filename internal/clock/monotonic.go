package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin is added to every reading, so that subtracting ordinary durations
// never yields a negative instant.
const origin = Instant(time.Hour)

// Monotonic is the VM's clock since its boot. It counts the time in which the
// VM is suspended, so that a lease ends on time whatever happens to its holder;
// steps of the wall clock do not move it.
type Monotonic struct{}

// NewMonotonic returns the clock.
func NewMonotonic() *Monotonic { return &Monotonic{} }

// Now returns the current instant.
func (m *Monotonic) Now() Instant {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// Only a kernel without this clock gets here; it has the other one.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	}
	return origin + Instant(now.Nano())
}
