package settings

import "github.com/samber/lo"

// announceRenewals is the number of renewals that an upstream's silence lasts
// at least before it is lost, so that a lost upstream can be reported in time.
const announceRenewals = 2

// Router holds the settings of a router.
type Router struct {
	Fleet      string   `json:"fleet" required:"true" kind:"name" doc:"Name of the fleet. Processes of other fleets are refused."`
	Name       string   `json:"name" required:"true" kind:"name" doc:"Name of this router; unique in the fleet."`
	DataCentre string   `json:"dataCentre" required:"true" kind:"name" doc:"Data centre of this VM."`
	Caller     string   `json:"caller" required:"true" kind:"address" doc:"Address for callers."`
	Announce   string   `json:"announce" required:"true" kind:"address" doc:"Address where the upstream beside this router announces itself."`
	Peer       string   `json:"peer" required:"true" kind:"address" doc:"Address for other routers."`
	Advertise  string   `json:"advertise" kind:"address" doc:"Address by which other routers reach this one, if it differs from peer."`
	Control    []string `json:"control" min:"1" required:"true" kind:"address" doc:"Peer addresses of the control processes."`
	Metrics    string   `json:"metrics" kind:"address" doc:"Address where metrics are served at /metrics; none if not given."`
	MaxBody    int      `json:"maxBody" default:"1048576" min:"1024" max:"67108864" doc:"Largest request or answer body, in bytes."`
	Entries    int      `json:"maxRequests" default:"4096" min:"16" max:"65536" doc:"Largest number of callers' requests under way."`
	Renewal    Duration `json:"renewal" default:"300ms" min:"20ms" max:"10s" doc:"Time between renewals; the same as timing.renewal at control."`
	Grace      Duration `json:"grace" default:"20s" min:"100ms" max:"10m" doc:"Longest time to finish work after a request to stop."`
	// RoutingPolicy names a baseline for measurements, or is empty.
	RoutingPolicy string   `json:"routingPolicy" doc:"Baseline for measurements: round-robin or two-choices, both without hedging; empty for the usual policy."`
	Announced     Duration `json:"announceTimeout" default:"3s" min:"100ms" max:"1m" doc:"An upstream that has not announced itself for this long is lost."`
}

// Check reports problems across fields.
func (r *Router) Check() Problems {
	problems := distinct("caller", r.Caller, "announce", r.Announce, "peer", r.Peer, "metrics", r.Metrics)
	for _, duplicate := range lo.FindDuplicates(r.Control) {
		problems = append(problems, Problem{Field: "control", Value: duplicate, Message: "is given twice"})
	}
	if lo.Contains(r.Control, r.Peer) {
		problems = append(problems, Problem{Field: "peer", Value: r.Peer, Message: "is also the address of a control process"})
	}
	if !lo.Contains([]string{"", "round-robin", "two-choices"}, r.RoutingPolicy) {
		problems = append(problems, Problem{Field: "routingPolicy", Value: r.RoutingPolicy, Message: "is neither round-robin nor two-choices"})
	}
	if r.Announced < announceRenewals*r.Renewal {
		problems = append(problems, Problem{Field: "announceTimeout", Value: r.Announced.Value(), Message: "must be at least twice renewal"})
	}
	if !lo.Contains([]string{"", "round-robin", "two-choices"}, r.RoutingPolicy) {
		problems = append(problems, Problem{Field: "routingPolicy", Value: r.RoutingPolicy, Message: "is neither round-robin nor two-choices"})
	}
	return problems
}

// Reached returns the address by which other routers reach this one.
func (r *Router) Reached() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Peer
}
