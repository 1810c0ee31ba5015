package controller

import "endivespring/internal/fleet"

// RouterStatus is one router and the upstream beside it.
type RouterStatus struct {
	Router     string `json:"router"`
	DataCentre string `json:"dataCentre"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	// State is ready, no-upstream, leaving or out.
	State   string        `json:"state"`
	Session fleet.Session `json:"session"`
	Applied fleet.Version `json:"appliedVersion"`
	Shards  int           `json:"shards"`
}
