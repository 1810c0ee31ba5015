package router

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/upstream"
)

const (
	// earlierBootTime is how long a boot of the upstream that started before the latest known
	// one must send heartbeats to be taken for the present one. No lease given to the later
	// boot lasts longer.
	earlierBootTime = 10500 * time.Millisecond
	// earlierBootGap is the longest time between two of these heartbeats.
	earlierBootGap = 3 * time.Second
)

// earlierBoot follows the heartbeats of a boot of the upstream that started before the latest
// known one. Mostly these are late, and that boot has ended. But if the VM's clock was set
// back, the present boot has the lower start time; it goes on sending.
type earlierBoot struct {
	boot        string
	sequence    uint64
	since, last clock.Instant
}

// proves records a heartbeat and reports whether its boot must be the present one.
func (e *earlierBoot) proves(now clock.Instant, h *upstream.Heartbeat) bool {
	if e.boot != h.Upstream.Boot || h.Sequence <= e.sequence || now.Sub(e.last) > earlierBootGap {
		*e = earlierBoot{boot: h.Upstream.Boot, since: now}
	}
	e.sequence, e.last = h.Sequence, now
	return now.Sub(e.since) >= earlierBootTime
}
