package upstream

import "endivespring/internal/fleet"

// Announcement is the JSON body of POST /v1/announce. Slots is the number of
// concurrent requests the upstream accepts, ColdSlots the number while it warms
// up, and Connections the number of connections it accepts.
type Announcement struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	Boot         string `json:"boot"`
	Slots        int    `json:"slots"`
	ColdSlots    int    `json:"coldSlots"`
	Connections  int    `json:"connections"`
	ChecksGrants bool   `json:"checksGrants"`
}

func (a *Announcement) upstream() fleet.Upstream {
	return fleet.Upstream{
		Name: a.Name, Service: a.Service, Address: a.Address, Boot: a.Boot, Slots: a.Slots,
		ColdSlots: a.ColdSlots, Connections: a.Connections, ChecksGrants: a.ChecksGrants,
	}
}
