package gateway

import (
	"endivespring/internal/balancer"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Whereabouts says where a request would go now, and why.
type Whereabouts struct {
	View    fleet.Version
	Route   string
	Service string
	// Targets are the services among which the route is split, if there are several;
	// Service is then the next in turn.
	Targets []fleet.Target
	// Keyed is set if the request goes to the owner of its key. Phase, Owner and Epoch are
	// the ownership of the key's shard or range.
	Keyed      bool
	Shard      string
	Phase      fleet.ShardPhase
	Owner      fleet.RouterID
	Epoch      fleet.Epoch
	Candidates []balancer.Candidate
	// Decision is sent, parked or refused, Reason the code of a refusal or of what a
	// parked request waits for, and Why the rule that decides.
	Decision Decision
	Reason   verdict.Reason
	Why      string
}
