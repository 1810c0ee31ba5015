package upstream

import "endivespring/internal/fleet"

// Notice is what an upstream tells the router beside it.
type Notice struct {
	Upstream fleet.Upstream
	Leaving  bool
	// Name is that of the upstream that leaves, if only this one is meant.
	Name string
	// Beat is set if the upstream takes ranges of keys with the answer.
	Beat *Beat
}
