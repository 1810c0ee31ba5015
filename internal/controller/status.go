package controller

import "endivespring/internal/fleet"

// Status is what operators see of the fleet.
type Status struct {
	// Leads is set if this process leads; otherwise the rest may be old.
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
	// InForce is the number of routers that have the config version, Behind
	// lists the others.
	InForce int      `json:"routersUpToDate"`
	Behind  []string `json:"routersBehind"`
	// Working lists those that may still take work under an older config
	// version, also routers whose session has ended.
	Working []string `json:"routersWorkingOnOlder"`
	// Everywhere is set if no router takes work under an older config version.
	Everywhere   bool            `json:"inForceEverywhere"`
	CentresOut   []string        `json:"dataCentresOut"`
	UpstreamsOut []string        `json:"upstreamsOut"`
	Routers      []RouterStatus  `json:"routers"`
	Services     []ServiceStatus `json:"services"`
}
