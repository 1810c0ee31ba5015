package balancer

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	// overflowTimeConstant smooths waits. Single slots come free all the time near the
	// limit, and the least wait of a data centre is zero at these moments.
	overflowTimeConstant = 200 * time.Millisecond
	// returnShare is the share of the cost of other data centres below which the wait of
	// the own one must fall before calls stay there again.
	returnShare = 0.75
	// negligibleWait is the own wait below which other data centres are not looked at.
	negligibleWait = float64(time.Millisecond)
)

// overflow decides whether calls of a service go to other data centres because the own
// one has no room. Waits are in nanoseconds.
type overflow struct {
	active bool
	// own is the smoothed least wait in the own data centre, others the smoothed least
	// wait elsewhere with the distance, both as of at.
	own, others float64
	at          clock.Instant
}

// idle reports whether the own data centre has had room for a while, so that the others
// need not be looked at.
func (o *overflow) idle(own float64) bool { return !o.active && own == 0 && o.own < negligibleWait }

// update takes the present least waits.
func (o *overflow) update(now clock.Instant, own, others float64) {
	weight := 1 - math.Exp(-float64(now.Sub(o.at))/float64(overflowTimeConstant))
	o.own += weight * (own - o.own)
	o.others += weight * (others - o.others)
	o.at = now
	if o.active {
		o.active = o.own >= returnShare*o.others
	} else {
		o.active = o.own > o.others
	}
}
