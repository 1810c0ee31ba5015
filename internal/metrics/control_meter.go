package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/controller"
	"endivespring/internal/fsm"
)

// ControlMeter exports the log position, leadership and state of a control
// process. The methods of a nil meter do nothing.
type ControlMeter struct {
	commit, applied, snapshot, term, isLeader gometrics.Gauge
	sessions, view, config, behind            gometrics.Gauge
	keyMoves, keyRanges                       gometrics.Gauge
}

// NewControlMeter returns a meter whose gauges are registered and zero.
func NewControlMeter(r *Registry) *ControlMeter {
	return &ControlMeter{
		commit: r.gauge(LogCommit), applied: r.gauge(LogApplied), snapshot: r.gauge(LogSnapshot), term: r.gauge(LogTerm),
		isLeader: r.gauge(IsLeader), sessions: r.gauge(Sessions), view: r.gauge(ViewVersion), config: r.gauge(ConfigVersion),
		behind: r.gauge(RoutersBehind), keyMoves: r.gauge(KeyMoves), keyRanges: r.gauge(KeyRanges),
	}
}

// SetLeadership sets the gauges of log and leadership. A nil leadership changes nothing.
func (m *ControlMeter) SetLeadership(leadership *controller.Leadership) {
	if m == nil || leadership == nil {
		return
	}
	m.commit.Update(int64(leadership.Commit))
	m.snapshot.Update(int64(leadership.Snapshot))
	m.term.Update(int64(leadership.Term))
	isLeader := int64(0)
	if leadership.IsLeader {
		isLeader = 1
	}
	m.isLeader.Update(isLeader)
}

// SetState sets the gauges from the state after the log entry with index applied.
func (m *ControlMeter) SetState(applied uint64, state *fsm.State) {
	if m == nil {
		return
	}
	m.applied.Update(int64(applied))
	m.sessions.Update(int64(len(state.OpenedSessions)))
	m.view.Update(int64(state.View.Version))
	m.config.Update(int64(state.View.Config))
	ranges := 0
	for _, space := range state.View.KeySpaces {
		ranges += len(space.Ranges)
	}
	m.keyRanges.Update(int64(ranges))
}

// SetRoutersBehind sets the number of routers that lack an operator change.
func (m *ControlMeter) SetRoutersBehind(n int) {
	if m != nil {
		m.behind.Update(int64(n))
	}
}

// SetKeyMoves sets the number of moves of keys by capacity that this process has planned.
func (m *ControlMeter) SetKeyMoves(n uint64) {
	if m != nil {
		m.keyMoves.Update(int64(n))
	}
}
