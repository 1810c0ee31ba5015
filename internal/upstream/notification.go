package upstream

import "endivespring/internal/fleet"

// Notification is an announcement, a heartbeat or a departure of the upstream
// beside the router.
type Notification struct {
	Upstream fleet.Upstream
	Leaving  bool
	// Name restricts a departure to the upstream of this name. Empty means any.
	Name string
	// Heartbeat is set if the notification is a heartbeat, whose answer renews
	// the leases on ranges of keys.
	Heartbeat *Heartbeat
}
