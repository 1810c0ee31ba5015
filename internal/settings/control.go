package settings

import (
	"strconv"

	"github.com/samber/lo"
)

// Control holds the settings of a control process.
type Control struct {
	Fleet      string        `json:"fleet" required:"true" kind:"name" doc:"Name of the fleet. Processes of other fleets are refused."`
	Name       string        `json:"name" required:"true" kind:"name" doc:"Name of this control process; one of the peers if they are listed."`
	DataCentre string        `json:"dataCentre" required:"true" kind:"name" doc:"Data centre of this VM."`
	DataFolder string        `json:"dataFolder" required:"true" doc:"Existing folder for this process's durable state."`
	TokenFile  string        `json:"tokenFile" doc:"File with the operators' token; required with an address for operators."`
	Peers      []ControlPeer `json:"peers" doc:"All control processes of the fleet, this one included; none if they find each other."`
	Discovery  Discovery     `json:"discovery" doc:"How control processes find each other if peers does not list them."`
	FrontEnd   FrontEnd      `json:"frontEnd" doc:"Another interface for operators."`
	Metrics    string        `json:"metrics" kind:"address" doc:"Address where metrics are served at /metrics; none if not given."`
	Timing     Timing        `json:"timing" doc:"Time spans; the same at every control process."`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int `json:"snapshotEntries" default:"4096" min:"16" max:"1000000" doc:"Log entries between snapshots."`
	MaxRebalancing  int `json:"maxRebalancing" default:"16" min:"1" max:"4096" doc:"Shards of a service that may be on the move for balance at once."`
}

// Check reports problems across fields.
func (c *Control) Check() Problems {
	problems := c.Timing.problems()
	switch {
	case c.Discovery.InUse() && len(c.Peers) > 0:
		problems = append(problems, Problem{Field: "peers", Value: len(c.Peers), Message: "must not be given beside discovery.seeds"})
	case c.Discovery.InUse():
		problems = append(problems, c.Discovery.problems()...)
	default:
		problems = append(problems, c.peerProblems()...)
	}
	if c.TokenFile == "" && c.Self().Operator != "" {
		problems = append(problems, Problem{Field: "tokenFile", Message: "missing"})
	}
	return append(problems, duplicateAddresses(c.addresses()...)...)
}

func (c *Control) peerProblems() Problems {
	var problems Problems
	if len(c.Peers) == 0 {
		return Problems{{Field: "peers", Message: "missing"}}
	}
	names := lo.Map(c.Peers, func(p ControlPeer, _ int) string { return p.Name })
	if !lo.Contains(names, c.Name) {
		problems = append(problems, Problem{Field: "name", Value: c.Name, Message: "is not one of peers"})
	}
	for _, duplicate := range lo.FindDuplicates(names) {
		problems = append(problems, Problem{Field: "peers", Value: duplicate, Message: "name is used twice"})
	}
	if len(c.Peers)%2 == 0 {
		problems = append(problems, Problem{Field: "peers", Value: len(c.Peers), Message: "use an odd number of control processes"})
	}
	return problems
}

// addresses returns pairs of field and address.
func (c *Control) addresses() []string {
	pairs := []string{
		"metrics", c.Metrics, "discovery.peer", c.Discovery.Peer, "discovery.operator", c.Discovery.Operator,
		"frontEnd.operator", c.FrontEnd.Operator,
	}
	for i, p := range c.Peers {
		field := "peers[" + strconv.Itoa(i) + "]"
		pairs = append(pairs, field+".peer", p.Peer, field+".operator", p.Operator)
	}
	return pairs
}

// Self returns this process's own name among the voters, and its addresses.
func (c *Control) Self() ControlPeer {
	if c.Discovery.InUse() {
		return ControlPeer{Name: c.Discovery.Peer, Peer: c.Discovery.Peer, Operator: c.Discovery.Operator}
	}
	self, _ := lo.Find(c.Peers, func(p ControlPeer) bool { return p.Name == c.Name })
	return self
}

// PeerAddress returns the address of the control process with a name among the
// voters, or none.
func (c *Control) PeerAddress(name string) string {
	if c.Discovery.InUse() {
		return name
	}
	peer, _ := lo.Find(c.Peers, func(p ControlPeer) bool { return p.Name == name })
	return peer.Peer
}
