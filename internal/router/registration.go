package router

import "endivespring/internal/fleet"

// registration is a change of the router's upstream to be registered with the
// control processes: an announcement or, with leaving set, a departure.
type registration struct {
	upstream fleet.Upstream
	leaving  bool
	// departed is set if the upstream itself has announced the departure.
	departed bool
	// departure is one that was announced, of whatever upstream. If it is set, the other
	// fields do not count.
	departure fleet.Departure
}
