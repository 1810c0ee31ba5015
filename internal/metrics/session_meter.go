package metrics

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// SessionMeter exports a router's leases and view version. The methods of a nil
// meter do nothing.
type SessionMeter struct {
	clock     clock.Clock
	ownership atomic.Int64
	view      atomic.Int64
	version   gometrics.Gauge
}

// NewSessionMeter returns a meter that shows expired leases and view version 0.
func NewSessionMeter(r *Registry, c clock.Clock) *SessionMeter {
	m := &SessionMeter{clock: c, version: r.gauge(ViewVersion)}
	r.registerFunc(OwnershipLeft, func() int64 { return m.remaining(&m.ownership) })
	r.registerFunc(ViewLeft, func() int64 { return m.remaining(&m.view) })
	return m
}

// SetLeases sets the expiry of both leases. The time left is computed at each scrape.
func (m *SessionMeter) SetLeases(ownership, view clock.Instant) {
	if m == nil {
		return
	}
	m.ownership.Store(int64(ownership))
	m.view.Store(int64(view))
}

// SetView sets the version of the view in use.
func (m *SessionMeter) SetView(version fleet.Version) {
	if m != nil {
		m.version.Update(int64(version))
	}
}

func (m *SessionMeter) remaining(until *atomic.Int64) int64 {
	left := clock.Instant(until.Load()).Sub(m.clock.Now())
	return max(0, int64(left/time.Millisecond))
}
