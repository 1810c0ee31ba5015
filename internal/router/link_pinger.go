package router

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// pingInterval is the interval of pings on a link with calls in flight. A peer
	// that stops responding is detected within about 2*pingInterval + peerTimeout.
	pingInterval = 250 * time.Millisecond
	// idlePingInterval is the shortest interval of pings on a link without calls.
	idlePingInterval = 2 * time.Second
	// idlePingShare is the interval between pings on any of a router's idle links. Each
	// router links to each other one whose keys its callers use, so the cost of pings
	// would grow with the square of the fleet otherwise.
	idlePingShare = 50 * time.Millisecond
	// minPingDelay is the shortest time until the next look at a link: a ping that is due
	// is not sent right after a message from the peer.
	minPingDelay = 50 * time.Millisecond
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

// interval returns the time between pings on one of a number of links. calls is set if
// calls are in flight on it.
func interval(calls bool, links int64) time.Duration {
	if calls {
		return pingInterval
	}
	return max(idlePingInterval, time.Duration(links)*idlePingShare)
}

// nextAt returns when due and timedOut must be called next.
func (p *linkPinger) nextAt(calls bool, links int64) clock.Instant {
	next := p.lastPing.Add(interval(calls, links))
	if p.unansweredSince != 0 {
		next = min(next, p.unansweredSince.Add(peerTimeout+pingInterval))
	}
	return next
}

// due reports whether to send a ping now, and if so records it as sent.
func (p *linkPinger) due(now clock.Instant, calls bool, links int64) bool {
	if now.Sub(p.lastPing) < interval(calls, links) {
		return false
	}
	p.lastPing = now
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}
	return true
}

// received records when the last message from the peer arrived.
func (p *linkPinger) received(at clock.Instant) {
	if at >= p.unansweredSince {
		p.unansweredSince = 0
	}
}

// timedOut reports whether a ping has gone unanswered for longer than peerTimeout.
func (p *linkPinger) timedOut(now clock.Instant) bool {
	return p.unansweredSince != 0 && now.Sub(p.unansweredSince) > peerTimeout
}
