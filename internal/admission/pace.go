package admission

import (
	"time"

	"endivespring/internal/clock"
)

const (
	// paceBurst is the number of requests that may be sent back to back. In any
	// second at most rate+paceBurst requests start; a cold upstream must have
	// the capacity for them.
	paceBurst = 2.0
	// tokenSlack absorbs rounding errors when a token becomes due.
	tokenSlack = 1e-6
)

// pace is a token bucket that limits the request rate of a cold upstream. It
// starts empty.
type pace struct {
	rate      float64 // requests a second; zero is no limit
	coldUntil clock.Instant
	tokens    float64
	filledAt  clock.Instant
}

func (p *pace) cold(now clock.Instant) bool { return p.rate > 0 && now < p.coldUntil }

func (p *pace) setColdTime(now clock.Instant, cold time.Duration) {
	if cold <= 0 {
		p.coldUntil = min(p.coldUntil, now)
		return
	}
	if !p.cold(now) {
		p.tokens, p.filledAt = 0, now
	}
	p.coldUntil = now.Add(cold)
}

func (p *pace) fill(now clock.Instant) {
	p.tokens = min(paceBurst, p.tokens+p.rate*now.Sub(p.filledAt).Seconds())
	p.filledAt = now
}

// take takes a token and reports whether one was available. A warm upstream
// needs none.
func (p *pace) take(now clock.Instant) bool {
	if !p.cold(now) {
		return true
	}
	p.fill(now)
	if p.tokens < 1-tokenSlack {
		return false
	}
	p.tokens--
	return true
}

// delay returns how long a request waits for its token behind a number of
// others.
func (p *pace) delay(now clock.Instant, ahead int) time.Duration {
	if !p.cold(now) {
		return 0
	}
	wait := time.Duration(float64(ahead+1) / p.rate * float64(time.Second))
	return min(wait, p.coldUntil.Sub(now))
}

// next returns when the next token is available.
func (p *pace) next(now clock.Instant) clock.Instant {
	if !p.cold(now) {
		return now
	}
	p.fill(now)
	return now.Add(time.Duration(max(0, 1-p.tokens) / p.rate * float64(time.Second)))
}
