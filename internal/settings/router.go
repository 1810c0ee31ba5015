package settings

import (
	"strconv"
	"time"

	"github.com/samber/lo"
)

// minAnnounceRenewals is the number of renewals that an upstream's silence lasts
// at least before it is lost, so that a lost upstream can be reported in time.
const minAnnounceRenewals = 2

// killMargin is kept of the time until a process is killed for its own end.
const killMargin = 500 * time.Millisecond

// executorMargin is kept of the grace period for the door's own end.
const executorMargin = 200 * time.Millisecond

// Router holds the settings of a router.
type Router struct {
	Fleet         string   `json:"fleet" required:"true" kind:"name" doc:"Name of the fleet. Processes of other fleets are refused."`
	Name          string   `json:"name" required:"true" kind:"name" doc:"Name of this router; unique in the fleet."`
	DataCentre    string   `json:"dataCentre" required:"true" kind:"name" doc:"Data centre of this VM."`
	Caller        string   `json:"caller" kind:"address" doc:"Address for callers; required without a front end."`
	Announce      string   `json:"announce" kind:"address" doc:"Address where the upstream beside this router announces itself; required without a front end."`
	FrontEnd      FrontEnd `json:"frontEnd" doc:"Another interface for callers and for the upstream."`
	Service       string   `json:"service" doc:"Service of the upstream beside this router, as calls that it makes are marked."`
	Upstream      string   `json:"upstream" kind:"address" doc:"Address of the upstream beside this router, if it may announce no other."`
	Peer          string   `json:"peer" required:"true" kind:"address" doc:"Address for other routers."`
	Advertise     string   `json:"advertise" kind:"address" doc:"Address by which other routers reach this one, if it differs from peer."`
	Control       []string `json:"control" min:"1" required:"true" kind:"address" doc:"Peer addresses of the control processes."`
	ControlPort   int      `json:"controlPort" min:"0" max:"65535" doc:"Port of every control process if their number may change: of the addresses in control only the IP numbers count then, and the router follows the leader to any address. 0 if control lists them all."`
	Metrics       string   `json:"metrics" kind:"address" doc:"Address where metrics are served at /metrics; none if not given."`
	MaxBody       int      `json:"maxBody" default:"1048576" min:"1024" max:"67108864" doc:"Largest request or answer body, in bytes."`
	Entries       int      `json:"maxRequests" default:"4096" min:"16" max:"65536" doc:"Largest number of callers' requests under way."`
	Renewal       Duration `json:"renewal" default:"300ms" min:"20ms" max:"10s" doc:"Time between renewals; the same as timing.renewal at control."`
	Grace         Duration `json:"grace" default:"20s" min:"100ms" max:"10m" doc:"Longest time to finish work after a request to stop."`
	KillAfter     Duration `json:"killAfter" default:"0s" min:"0s" max:"1h" doc:"Time after which a process that was asked to stop is killed; its grace ends before. 0 if it is not."`
	MaxHold       Duration `json:"maxHold" default:"10s" min:"500ms" max:"10m" doc:"Longest time for which the upstream takes ranges of keys."`
	UpstreamDrain Duration `json:"upstreamDrain" default:"2s" min:"100ms" max:"10m" doc:"How long an upstream that said that it leaves may get requests."`
	Linger        Duration `json:"linger" default:"2500ms" min:"0s" max:"1m" doc:"Time for which a stopping router with a front end takes work, so that callers learn from its readiness to go elsewhere."`
	// RoutingPolicy names a baseline for measurements, or is empty.
	RoutingPolicy string   `json:"routingPolicy" doc:"Baseline for measurements: round-robin or two-choices, both without hedging; empty for the usual policy."`
	Announced     Duration `json:"announceTimeout" default:"3s" min:"100ms" max:"1m" doc:"An upstream that has not announced itself for this long is lost."`
}

// Check reports problems across fields.
func (r *Router) Check() Problems {
	problems := duplicateAddresses("caller", r.Caller, "announce", r.Announce, "peer", r.Peer, "metrics", r.Metrics,
		"frontEnd.caller", r.FrontEnd.Caller, "frontEnd.announce", r.FrontEnd.Announce, "frontEnd.ready", r.FrontEnd.Ready)
	if r.FrontEnd.Name == "" {
		problems = append(problems, r.missingAddresses()...)
	}
	for _, duplicate := range lo.FindDuplicates(r.Control) {
		problems = append(problems, Problem{Field: "control", Value: duplicate, Message: "is given twice"})
	}
	if lo.Contains(r.Control, r.Peer) {
		problems = append(problems, Problem{Field: "peer", Value: r.Peer, Message: "is also the address of a control process"})
	}
	if r.Announced < minAnnounceRenewals*r.Renewal {
		problems = append(problems, Problem{Field: "announceTimeout", Value: r.Announced.Value(), Message: "must be at least twice renewal"})
	}
	if !lo.Contains([]string{"", "round-robin", "two-choices"}, r.RoutingPolicy) {
		problems = append(problems, Problem{Field: "routingPolicy", Value: r.RoutingPolicy, Message: "is neither round-robin nor two-choices"})
	}
	return problems
}

// missingAddresses reports the addresses without which the project's own interface
// cannot be served.
func (r *Router) missingAddresses() Problems {
	var problems Problems
	if r.Caller == "" {
		problems = append(problems, Problem{Field: "caller", Message: "missing"})
	}
	if r.Announce == "" {
		problems = append(problems, Problem{Field: "announce", Message: "missing"})
	}
	return problems
}

// ControlAddresses returns where control processes are looked for.
func (r *Router) ControlAddresses() []string {
	if r.ControlPort == 0 {
		return r.Control
	}
	return replacePorts(r.Control, strconv.Itoa(r.ControlPort))
}

// GracePeriod returns the longest time to finish work after a request to stop.
func (r *Router) GracePeriod() time.Duration {
	if r.KillAfter == 0 {
		return r.Grace.Value()
	}
	return max(killMargin, min(r.Grace.Value(), r.KillAfter.Value()-killMargin))
}

// LingerTime returns how long a stopping router with a front end takes work.
func (r *Router) LingerTime() time.Duration { return min(r.Linger.Value(), r.GracePeriod()/2) }

// FinishTime returns how long a stopping router then waits for what it has read.
func (r *Router) FinishTime() time.Duration { return r.GracePeriod() - r.LingerTime() - executorMargin }

// Reached returns the address by which other routers reach this one.
func (r *Router) Reached() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Peer
}
