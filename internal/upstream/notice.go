package upstream

import "endivespring/internal/fleet"

// Notice is what an upstream tells the router beside it.
type Notice struct {
	Upstream fleet.Upstream
	Leaving  bool
}
