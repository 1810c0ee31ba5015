package router

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// pingInterval is the interval of pings on a link with calls in flight. A peer
	// that stops responding is detected within about 2*pingInterval + peerTimeout.
	pingInterval = 250 * time.Millisecond
	// idlePingInterval is the interval of pings on a link without calls. Each router
	// links to each other one, so the cost of pings grows with the square of the
	// fleet, and most links are idle most of the time.
	idlePingInterval = 2 * time.Second
	// peerTimeout is the time after which an unanswered ping, or a blocked open or
	// send, fails the link.
	peerTimeout = time.Second
)

// linkPinger decides when to ping the peer of a link and when to fail the link. Its
// zero value is ready to use.
type linkPinger struct {
	lastPing clock.Instant
	// unansweredSince is the time of the first ping since the last message from the
	// peer, or zero if there is none.
	unansweredSince clock.Instant
}

// due reports whether to send a ping now, and if so records it as sent. calls is
// set if calls are in flight.
func (p *linkPinger) due(now clock.Instant, calls bool) bool {
	every := idlePingInterval
	if calls {
		every = pingInterval
	}
	if now.Sub(p.lastPing) < every {
		return false
	}
	p.lastPing = now
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	return true
}

// received records a message from the peer.
func (p *linkPinger) received() { p.unansweredSince = 0 }

// timedOut reports whether a ping has gone unanswered for longer than peerTimeout.
func (p *linkPinger) timedOut(now clock.Instant) bool {
	return p.unansweredSince != 0 && now.Sub(p.unansweredSince) > peerTimeout
}
