package settings

import "time"

// Timing holds the time spans of control. Every control process of a fleet
// must use the same ones.
type Timing struct {
	Heartbeat Duration `json:"heartbeat" default:"60ms" min:"5ms" max:"5s" doc:"Time between the leader's heartbeats to other control processes."`
	Election  Duration `json:"election" default:"300ms" min:"50ms" max:"30s" doc:"Shortest time without a leader before another is elected; the longest is twice that."`
	Drift     Duration `json:"drift" default:"40ms" min:"1ms" max:"5s" doc:"Margin for clock drift and scheduling in every lease."`
	Ownership Duration `json:"ownership" default:"1s" min:"100ms" max:"1m" doc:"How long a renewal lets a router serve its shards."`
	View      Duration `json:"view" default:"3s" min:"500ms" max:"1m" doc:"How long a renewal lets a router take new work; bounds when an accepted change is in force everywhere."`
	Renewal   Duration `json:"renewal" default:"300ms" min:"20ms" max:"10s" doc:"Time between a router's renewals."`
}

// problems returns what does not fit together.
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
