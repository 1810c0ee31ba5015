package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/controller"
	"endivespring/internal/fsm"
)

// ControlMeter shows the log and the state of a control process. A nil meter
// shows nothing.
type ControlMeter struct {
	commit, applied, snapshot, term, leads gometrics.Gauge
	sessions, view, config                 gometrics.Gauge
}

// NewControlMeter returns a meter at zero.
func NewControlMeter(r *Registry) *ControlMeter {
	return &ControlMeter{
		commit: r.gauge(LogCommit), applied: r.gauge(LogApplied), snapshot: r.gauge(LogSnapshot), term: r.gauge(LogTerm),
		leads: r.gauge(Leads), sessions: r.gauge(Sessions), view: r.gauge(ViewVersion), config: r.gauge(ConfigVersion),
	}
}

// Leadership shows what the log reports.
func (m *ControlMeter) Leadership(lead *controller.Leadership) {
	if m == nil || lead == nil {
		return
	}
	m.commit.Update(int64(lead.Commit))
	m.snapshot.Update(int64(lead.Snapshot))
	m.term.Update(int64(lead.Term))
	leads := int64(0)
	if lead.Leads {
		leads = 1
	}
	m.leads.Update(leads)
}

// State shows the state after an entry was applied.
func (m *ControlMeter) State(applied uint64, state *fsm.State) {
	if m == nil {
		return
	}
	m.applied.Update(int64(applied))
	m.sessions.Update(int64(len(state.Opened)))
	m.view.Update(int64(state.View.Version))
	m.config.Update(int64(state.View.Config))
}
