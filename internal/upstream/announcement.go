package upstream

// Announcement is the body of an upstream's announcement.
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
