package settings

import "time"

// Timing holds the time spans of control, which must be equal at every control
// process of a fleet.
type Timing struct {
	Heartbeat Duration `json:"heartbeat" default:"60ms" min:"5ms" max:"5s" doc:"Time between the leader's heartbeats to other control processes."`
	Election  Duration `json:"election" default:"300ms" min:"50ms" max:"30s" doc:"Shortest election timeout; the longest is twice as long."`
	Drift     Duration `json:"drift" default:"40ms" min:"1ms" max:"5s" doc:"Safety margin for clock drift and scheduling delays in every lease."`
	Ownership Duration `json:"ownership" default:"1s" min:"100ms" max:"1m" doc:"Time for which a renewal extends a router's lease on its shards."`
	View      Duration `json:"view" default:"3s" min:"500ms" max:"1m" doc:"Time for which a renewal extends a router's view lease, which it needs to take new work. This time also bounds how long an accepted change takes to be in force everywhere."`
	Renewal   Duration `json:"renewal" default:"300ms" min:"20ms" max:"10s" doc:"Time between a router's renewals."`
}

// problems returns the time spans that are inconsistent with each other.
func (t *Timing) problems() Problems {
	var problems Problems
	add := func(field string, value Duration, message string) {
		problems = append(problems, Problem{Field: "timing." + field, Value: time.Duration(value), Message: message})
	}
	if t.Election < 4*t.Heartbeat {
		add("election", t.Election, "must be at least four times timing.heartbeat")
	}
	if t.Drift >= t.Election/4 {
		add("drift", t.Drift, "must be less than a quarter of timing.election")
	}
	if t.Ownership < 3*t.Renewal {
		add("ownership", t.Ownership, "must be at least three times timing.renewal")
	}
	if t.View < t.Ownership {
		add("view", t.View, "must be at least timing.ownership")
	}
	return problems
}
