package gateway

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

// rateTimeConstant is the time over which a rate is averaged.
const rateTimeConstant = 2 * time.Second

// rateMeter measures the rate of an event as a decaying count.
type rateMeter struct {
	count float64
	at    clock.Instant
}

func (m *rateMeter) observe(now clock.Instant) {
	m.decay(now)
	m.count++
}

// rate returns the events per second.
func (m *rateMeter) rate(now clock.Instant) float64 {
	m.decay(now)
	return m.count / rateTimeConstant.Seconds()
}

func (m *rateMeter) decay(now clock.Instant) {
	m.count *= math.Exp(-float64(now.Sub(m.at)) / float64(rateTimeConstant))
	m.at = now
}
