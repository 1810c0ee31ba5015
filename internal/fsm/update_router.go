package fsm

import "endivespring/internal/fleet"

// UpdateRouter replaces the registration of a router in its current session.
type UpdateRouter struct {
	Router fleet.Router
}
