package controller

import "endivespring/internal/fleet"

// sighting is what a session last told this leader.
type sessionReport struct {
	router  fleet.RouterID
	applied fleet.Version
}
