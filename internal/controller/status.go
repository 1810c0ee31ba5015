package controller

import "endivespring/internal/fleet"

// Status is the state of the fleet as operators see it.
type Status struct {
	// IsLeader is set if this process is leader; otherwise the rest may be out of
	// date.
	IsLeader      bool          `json:"leads"`
	Leader        string        `json:"leader"`
	Term          uint64        `json:"term"`
	Voters        []string      `json:"voters"`
	Learners      []string      `json:"learners"`
	Commit        uint64        `json:"commit"`
	Snapshot      uint64        `json:"snapshot"`
	Preset        string        `json:"preset"`
	PresetVersion fleet.Version `json:"presetVersion"`
	ConfigVersion fleet.Version `json:"configVersion"`
	ViewVersion   fleet.Version `json:"viewVersion"`
	// RoutersUpToDate is the number of routers that have applied the config version,
	// RoutersBehind lists the others.
	RoutersUpToDate int      `json:"routersUpToDate"`
	RoutersBehind   []string `json:"routersBehind"`
	// RoutersWorkingOnOlder lists the routers that may still accept requests under an
	// older config version, those whose session has ended included: a view lease
	// may outlast the session.
	RoutersWorkingOnOlder []string `json:"routersWorkingOnOlder"`
	// InForceEverywhere is set if no router can accept requests under an older config
	// version any more.
	InForceEverywhere bool            `json:"inForceEverywhere"`
	DataCentresOut    []string        `json:"dataCentresOut"`
	UpstreamsOut      []string        `json:"upstreamsOut"`
	Routers           []RouterStatus  `json:"routers"`
	Services          []ServiceStatus `json:"services"`
}
