package controller

import "endivespring/internal/fleet"

// sessionReport is the view version that a session's router last reported to this
// leader as applied, or zero before its first report.
type sessionReport struct {
	router  fleet.RouterID
	applied fleet.Version
}
