package router

import "endivespring/internal/fleet"

// registration is what the router says of its upstream to control.
type registration struct {
	upstream fleet.Upstream
	leaving  bool
}
