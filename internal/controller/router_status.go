package controller

import "endivespring/internal/fleet"

// RouterStatus is one router and the upstream beside it.
type RouterStatus struct {
	Router     string `json:"router"`
	DataCentre string `json:"dataCentre"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	// State is ready, no-upstream, leaving or out. The last means that an
	// operator took the upstream or its data centre out of service.
	State   string        `json:"state"`
	Session fleet.Session `json:"session"`
	// Applied is the view version that the router last reported as applied, or
	// zero if it has not reported to this leader.
	Applied fleet.Version `json:"appliedVersion"`
	// Shards is the number of shards that the session owns, those being revoked
	// included.
	Shards int `json:"shards"`
}
