package router

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// pingInterval is the time between probes of a link on which a call waits for
	// its answer; silence shows within it and silentTimeout.
	pingInterval = 250 * time.Millisecond
	// idlePing is the time between probes of a link without calls. With links
	// from each router to each other one, what probes cost grows with the square
	// of the fleet, and most links have no call most of the time.
	idlePing = 2 * time.Second
	// silentTimeout is how long a probe may go unanswered.
	silentTimeout = time.Second
)

// probing decides when a link is probed and when it is given up.
type probing struct {
	pinged clock.Instant
	// asked is when the first probe since the last sign of life was sent; zero if
	// none was.
	asked clock.Instant
}

// due reports whether a probe is to be sent now, with calls waiting or not.
func (p *probing) due(now clock.Instant, calls bool) bool {
	every := idlePing
	if calls {
		every = pingInterval
	}
	if now.Sub(p.pinged) < every {
		return false
	}
	p.pinged = now
	if p.asked == 0 {
		p.asked = now
	}
	return true
}

// heard takes a sign of life.
func (p *probing) heard() { p.asked = 0 }

// silent reports whether a probe went unanswered for too long.
func (p *probing) silent(now clock.Instant) bool {
	return p.asked != 0 && now.Sub(p.asked) > silentTimeout
}
