package controller

import "endivespring/internal/fleet"

// Status is the state of the fleet as operators see it.
type Status struct {
	// Leads is set if this process is leader; otherwise the rest may be out of
	// date.
	Leads    bool          `json:"leads"`
	Leader   string        `json:"leader"`
	Term     uint64        `json:"term"`
	Voters   []string      `json:"voters"`
	Learners []string      `json:"learners"`
	Commit   uint64        `json:"commit"`
	Snapshot uint64        `json:"snapshot"`
	Preset   string        `json:"preset"`
	PresetAt fleet.Version `json:"presetVersion"`
	Config   fleet.Version `json:"configVersion"`
	View     fleet.Version `json:"viewVersion"`
	// InForce is the number of routers that have applied the config version,
	// Behind lists the others.
	InForce int      `json:"routersUpToDate"`
	Behind  []string `json:"routersBehind"`
	// Working lists the routers that may still accept requests under an older
	// config version, those whose session has ended included: a view lease may
	// outlast the session.
	Working []string `json:"routersWorkingOnOlder"`
	// Everywhere is set if no router can accept requests under an older config
	// version any more.
	Everywhere   bool            `json:"inForceEverywhere"`
	CentresOut   []string        `json:"dataCentresOut"`
	UpstreamsOut []string        `json:"upstreamsOut"`
	Routers      []RouterStatus  `json:"routers"`
	Services     []ServiceStatus `json:"services"`
}
