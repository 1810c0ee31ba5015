package balancer

import (
	"time"

	"endivespring/internal/fleet"
)

// Admission is whether a call can start in time according to load reports, and where.
type Admission struct {
	// Refused is set if all executors that may run the call have recent reports by which
	// it cannot start in time.
	Refused bool
	// Forced is set if the call is to go to Router: few executors have room, the report
	// of that one is too old, or it is tried although it reports that it is full.
	Forced bool
	Router fleet.Router
	// Wait is the least wait of the executors, Age the age of that report, and Executors
	// the number of executors looked at.
	Wait, Age time.Duration
	Executors int
}
