package upstream

import (
	"endivespring/internal/fleet"
	"endivespring/internal/ring"
)

// Notification is an announcement, a heartbeat or a departure of the upstream
// beside the router.
type Notification struct {
	Upstream fleet.Upstream
	Leaving  bool
	// Name restricts a departure to the upstream of this name. Empty means any.
	Name string
	// Acknowledged gets whether a departure was recorded so that it outlives the process, if it
	// is set.
	Acknowledged ring.Reply[bool]
	// Heartbeat is set if the notification is a heartbeat, whose answer renews
	// the leases on ranges of keys.
	Heartbeat *Heartbeat
}
