package settings

import (
	"strconv"

	"github.com/samber/lo"
)

// Control holds the settings of a control process.
type Control struct {
	Fleet           string        `json:"fleet" required:"true" kind:"name" doc:"Name of the fleet. Processes of other fleets are refused."`
	Name            string        `json:"name" required:"true" kind:"name" doc:"Name of this control process; must be in peers if peers are listed."`
	DataCentre      string        `json:"dataCentre" required:"true" kind:"name" doc:"Data centre of this VM."`
	DataFolder      string        `json:"dataFolder" required:"true" doc:"Folder for this process's durable state; must exist."`
	TokenFile       string        `json:"tokenFile" doc:"File that holds the operators' token; required if an address for operators is set."`
	Peers           []ControlPeer `json:"peers" doc:"All control processes of the fleet, including this one; empty if they discover each other."`
	Discovery       Discovery     `json:"discovery" doc:"How control processes discover each other if peers is empty."`
	FrontEnd        FrontEnd      `json:"frontEnd" doc:"Additional interface for operators."`
	Metrics         string        `json:"metrics" kind:"address" doc:"Address where metrics are served at /metrics; not served if not set."`
	Timing          Timing        `json:"timing" doc:"Time spans; must be equal at every control process."`
	MemoryMB        float64       `json:"memoryMB" default:"0" min:"0" max:"1048576" doc:"Memory in MB that the process may use. It collects garbage in time to stay within it. 0 for no such limit."`
	GCPercent       int           `json:"gcPercent" default:"100" min:"10" max:"1000" doc:"Growth of the heap, in percent of what is in use, at which garbage is collected. Lower values take less memory and more processor time."`
	Placement       Placement     `json:"placement" doc:"Placement of ranges of keys."`
	SnapshotEntries int           `json:"snapshotEntries" default:"4096" min:"16" max:"1000000" doc:"Largest number of log entries between snapshots."`
	SnapshotBytes   int           `json:"snapshotBytes" default:"8388608" min:"65536" max:"1073741824" doc:"Size of the log entries, in bytes, after which a snapshot is taken even if they are fewer."`
	MaxRebalancing  int           `json:"maxRebalancing" default:"16" min:"1" max:"4096" doc:"Largest number of a service's shards that move at the same time for rebalancing."`
}

// Check reports problems across fields.
func (c *Control) Check() Problems {
	problems := c.Timing.problems()
	switch {
	case c.Discovery.InUse() && len(c.Peers) > 0:
		problems = append(problems, Problem{Field: "peers", Value: len(c.Peers), Message: "cannot be combined with discovery.seeds"})
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
		problems = append(problems, Problem{Field: "peers", Value: len(c.Peers), Message: "must be an odd number"})
	}
	return problems
}

// addresses returns each field that holds an address, followed by its address.
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

// Self returns the name that this process has among the voters and its addresses.
func (c *Control) Self() ControlPeer {
	if c.Discovery.InUse() {
		return ControlPeer{Name: c.Discovery.Peer, Peer: c.Discovery.Peer, Operator: c.Discovery.Operator}
	}
	self, _ := lo.Find(c.Peers, func(p ControlPeer) bool { return p.Name == c.Name })
	return self
}

// PeerAddress returns the peer address of the control process that has the given
// name among the voters, or an empty string if there is none.
func (c *Control) PeerAddress(name string) string {
	if c.Discovery.InUse() {
		return name
	}
	peer, _ := lo.Find(c.Peers, func(p ControlPeer) bool { return p.Name == name })
	return peer.Peer
}
