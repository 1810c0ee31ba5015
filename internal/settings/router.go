package settings

import (
	"strconv"
	"time"

	"github.com/samber/lo"
)

// minAnnounceRenewals is the smallest announceTimeout, in renewal intervals, so
// that the loss of an upstream can be reported to control in time.
const minAnnounceRenewals = 2

// killMargin is the part of killAfter that is reserved for the process to exit.
const killMargin = 500 * time.Millisecond

// executorMargin is the part of the grace period that is reserved for the
// executor to stop.
const executorMargin = 200 * time.Millisecond

// Router holds the settings of a router.
type Router struct {
	Fleet            string   `json:"fleet" required:"true" kind:"name" doc:"Name of the fleet. Processes of other fleets are refused."`
	Name             string   `json:"name" required:"true" kind:"name" doc:"Name of this router; unique in the fleet."`
	DataCentre       string   `json:"dataCentre" required:"true" kind:"name" doc:"Data centre of this VM."`
	Caller           string   `json:"caller" kind:"address" doc:"Address for callers; required if there is no front end."`
	Announce         string   `json:"announce" kind:"address" doc:"Address at which the upstream beside this router announces itself; required if there is no front end."`
	FrontEnd         FrontEnd `json:"frontEnd" doc:"Additional interface for callers and for the upstream."`
	Service          string   `json:"service" doc:"Service of the upstream beside this router; calls that the upstream makes are marked with it."`
	Upstream         string   `json:"upstream" kind:"address" doc:"Address of the upstream beside this router; if set, it may announce no other address."`
	Peer             string   `json:"peer" required:"true" kind:"address" doc:"Address for other routers."`
	Advertise        string   `json:"advertise" kind:"address" doc:"Address at which other routers reach this one, if it differs from peer."`
	Control          []string `json:"control" min:"1" required:"true" kind:"address" doc:"Peer addresses of the control processes."`
	ControlPort      int      `json:"controlPort" min:"0" max:"65535" doc:"Port of every control process, if their number may change: only the IP addresses in control are used then, and the router follows the leader to any address. 0 if control lists all control processes."`
	Metrics          string   `json:"metrics" kind:"address" doc:"Address where metrics are served at /metrics; not served if not set."`
	MaxBody          int      `json:"maxBody" default:"1048576" min:"1024" max:"67108864" doc:"Largest body of a request or answer, in bytes."`
	RequestMemory    int      `json:"requestMemory" default:"71303168" min:"65536" max:"1073741824" doc:"Bytes that the bodies of requests may use until their memory is collected, beside 64 KiB each. A request that needs more is refused as overloaded."`
	ConnectionMemory int      `json:"connectionMemory" default:"41943040" min:"1048576" max:"1073741824" doc:"Bytes that all callers' connections may use for buffers, headers and the first 64 KiB of each body or answer, while requests are read, run and answered and for 1 s after that, and 12 KiB for each idle one. If it is used up, the slowest request being read is refused as overloaded, or an idle connection closed, else the new request refused."`
	MaxConnections   int      `json:"maxConnections" default:"2600" min:"16" max:"65536" doc:"Largest number of callers' connections. Beyond it, the one that has been idle for longest is closed."`
	AnswerMemory     int      `json:"answerMemory" default:"67108864" min:"65536" max:"1073741824" doc:"Bytes that all answers of the upstream being read at the same time may use, beside 64 KiB each; and as many again, with a front end's callers, for all answers that are being sent to them. An answer that needs more is not read; while one is sent that needs more, others that do are given up."`
	MemoryMB         float64  `json:"memoryMB" default:"192" min:"0" max:"1048576" doc:"Memory in MB that the process may use. It collects garbage in time to stay within it; what is in use at the same time has limits of its own. If requestMemory, connectionMemory and answerMemory together are larger than what is left of it, beside 14 MiB and a twelfth, they are lowered. 0 for no such limit."`
	GCPercent        int      `json:"gcPercent" default:"100" min:"10" max:"1000" doc:"Growth of the heap, in percent of what is in use, at which garbage is collected. Lower values take less memory and more processor time."`
	Load             Load     `json:"load" doc:"Load management."`
	MaxRequests      int      `json:"maxRequests" default:"4096" min:"16" max:"65536" doc:"Largest number of callers' requests in progress."`
	Renewal          Duration `json:"renewal" default:"300ms" min:"20ms" max:"10s" doc:"Time between renewals; must equal timing.renewal of the control processes."`
	Grace            Duration `json:"grace" default:"20s" min:"100ms" max:"10m" doc:"Longest time to finish running work after a stop signal."`
	KillAfter        Duration `json:"killAfter" default:"0s" min:"0s" max:"1h" doc:"Time after a stop signal at which the process is killed; if above 500ms, the grace period is shortened to end before. 0 if the process is not killed."`
	MaxHold          Duration `json:"maxHold" default:"10s" min:"500ms" max:"10m" doc:"Longest lease on ranges of keys that the upstream accepts."`
	UpstreamDrain    Duration `json:"upstreamDrain" default:"2s" min:"100ms" max:"10m" doc:"Time for which a draining upstream still accepts requests; values below 2s make the router stop using its ranges of keys sooner."`
	Linger           Duration `json:"linger" default:"2500ms" min:"0s" max:"1m" doc:"Time for which a stopping router with a front end still takes work, so that callers see in its readiness that they must use another router."`
	RoutingPolicy    string   `json:"routingPolicy" doc:"Baseline policy for measurements: round-robin or two-choices, both without hedging; empty for the normal policy."`
	AnnounceTimeout  Duration `json:"announceTimeout" default:"3s" min:"100ms" max:"1m" doc:"Time without an announcement after which the upstream is considered lost."`
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
	if r.AnnounceTimeout < minAnnounceRenewals*r.Renewal {
		problems = append(problems, Problem{Field: "announceTimeout", Value: r.AnnounceTimeout.Value(), Message: "must be at least twice renewal"})
	}
	if !lo.Contains([]string{"", "round-robin", "two-choices"}, r.RoutingPolicy) {
		problems = append(problems, Problem{Field: "routingPolicy", Value: r.RoutingPolicy, Message: "is neither round-robin nor two-choices"})
	}
	return problems
}

// missingAddresses reports unset addresses that the project's own interface
// requires.
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

// ControlAddresses returns the addresses at which the router looks for control
// processes.
func (r *Router) ControlAddresses() []string {
	if r.ControlPort == 0 {
		return r.Control
	}
	return replacePorts(r.Control, strconv.Itoa(r.ControlPort))
}

// GracePeriod returns the longest time to finish running work after a stop
// signal. If killAfter is set, it ends at least killMargin before the process is
// killed, but is never shorter than killMargin.
func (r *Router) GracePeriod() time.Duration {
	if r.KillAfter == 0 {
		return r.Grace.Value()
	}
	return max(killMargin, min(r.Grace.Value(), r.KillAfter.Value()-killMargin))
}

// LingerTime returns how long a stopping router with a front end still takes
// work: at most half the grace period.
func (r *Router) LingerTime() time.Duration { return min(r.Linger.Value(), r.GracePeriod()/2) }

// FinishTime returns how long a stopping router waits after LingerTime for the
// requests that it has read.
func (r *Router) FinishTime() time.Duration { return r.GracePeriod() - r.LingerTime() - executorMargin }

// AdvertisedAddress returns the address at which other routers reach this one.
func (r *Router) AdvertisedAddress() string {
	if r.Advertise != "" {
		return r.Advertise
	}
	return r.Peer
}
