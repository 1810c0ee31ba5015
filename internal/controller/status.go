package controller

import "endivespring/internal/fleet"

// Status is what operators see of the fleet.
type Status struct {
	// Leads is set if this process leads; otherwise the rest may be old.
	Leads        bool            `json:"leads"`
	Leader       string          `json:"leader"`
	Term         uint64          `json:"term"`
	Voters       []string        `json:"voters"`
	Learners     []string        `json:"learners"`
	Commit       uint64          `json:"commit"`
	Snapshot     uint64          `json:"snapshot"`
	Preset       string          `json:"preset"`
	PresetAt     fleet.Version   `json:"presetVersion"`
	Config       fleet.Version   `json:"configVersion"`
	View         fleet.Version   `json:"viewVersion"`
	InForce      int             `json:"routersUpToDate"`
	Behind       []string        `json:"routersBehind"`
	CentresOut   []string        `json:"dataCentresOut"`
	UpstreamsOut []string        `json:"upstreamsOut"`
	Routers      []RouterStatus  `json:"routers"`
	Services     []ServiceStatus `json:"services"`
}
