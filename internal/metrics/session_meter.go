package metrics

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// SessionMeter shows a router's leases and view. A nil meter shows nothing.
type SessionMeter struct {
	clock     clock.Clock
	ownership atomic.Int64
	view      atomic.Int64
	version   gometrics.Gauge
}

// NewSessionMeter returns a meter without leases.
func NewSessionMeter(r *Registry, c clock.Clock) *SessionMeter {
	m := &SessionMeter{clock: c, version: r.gauge(ViewVersion)}
	r.read(OwnershipLeft, func() int64 { return m.left(&m.ownership) })
	r.read(ViewLeft, func() int64 { return m.left(&m.view) })
	return m
}

// Leases shows the instants at which the leases end.
func (m *SessionMeter) Leases(ownership, view clock.Instant) {
	if m == nil {
		return
	}
	m.ownership.Store(int64(ownership))
	m.view.Store(int64(view))
}

// View shows the version of the view in use.
func (m *SessionMeter) View(version fleet.Version) {
	if m != nil {
		m.version.Update(int64(version))
	}
}

func (m *SessionMeter) left(until *atomic.Int64) int64 {
	left := clock.Instant(until.Load()).Sub(m.clock.Now())
	return max(0, int64(left/time.Millisecond))
}
