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
	// confirmed is when the view in use was last confirmed as current, or zero.
	confirmed atomic.Int64
	version   gometrics.Gauge
	config    gometrics.Gauge
}

// NewSessionMeter returns a meter that shows expired leases and view version 0.
func NewSessionMeter(r *Registry, c clock.Clock) *SessionMeter {
	m := &SessionMeter{clock: c, version: r.gauge(ViewVersion), config: r.gauge(ConfigVersion)}
	r.registerFunc(OwnershipLeft, func() int64 { return m.remaining(&m.ownership) })
	r.registerFunc(ViewLeft, func() int64 { return m.remaining(&m.view) })
	r.registerFunc(ViewAge, m.viewAge)
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

// SetConfig sets the number of operator changes in the view that the gateway uses.
func (m *SessionMeter) SetConfig(config fleet.Version) {
	if m != nil {
		m.config.Update(int64(config))
	}
}

// SetViewConfirmed sets when the sending of the latest renewal began whose answer
// named a view version that this router has.
func (m *SessionMeter) SetViewConfirmed(at clock.Instant) {
	if m != nil {
		m.confirmed.Store(int64(at))
	}
}

// viewAge returns the age of the view in use in milliseconds, or -1 without a view.
func (m *SessionMeter) viewAge() int64 {
	confirmed := clock.Instant(m.confirmed.Load())
	if confirmed == 0 {
		return -1
	}
	return int64(m.clock.Now().Sub(confirmed) / time.Millisecond)
}

func (m *SessionMeter) remaining(until *atomic.Int64) int64 {
	left := clock.Instant(until.Load()).Sub(m.clock.Now())
	return max(0, int64(left/time.Millisecond))
}
