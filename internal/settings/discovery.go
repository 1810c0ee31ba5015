package settings

import (
	"net"

	"github.com/samber/lo"
)

// Discovery says how a control process finds the others if nobody lists them.
type Discovery struct {
	Peer       string   `json:"peer" kind:"address" doc:"Address of this process for control processes and routers; it is also its name among the voters."`
	Operator   string   `json:"operator" kind:"address" doc:"Address for operators; none if not given."`
	Seeds      []string `json:"seeds" kind:"address" doc:"Addresses of control processes that may know the others. Only their IP numbers count: all use the port of peer."`
	FirstStart bool     `json:"firstStart" doc:"The whole fleet starts for the first time: the processes at the seeds form the control log."`
	Tolerance  int      `json:"tolerance" default:"1" min:"0" max:"4" doc:"Disks that may be lost at once. Twice as many and one are voters."`
}

// InUse reports whether the process finds the others by itself.
func (d *Discovery) InUse() bool { return len(d.Seeds) > 0 }

// problems returns what is missing.
func (d *Discovery) problems() Problems {
	if d.Peer == "" {
		return Problems{{Field: "discovery.peer", Message: "missing"}}
	}
	return nil
}

// Voters returns the number of voters that the fleet keeps.
func (d *Discovery) Voters() int { return 2*d.Tolerance + 1 }

// Contacts returns the peer addresses of the seeds.
func (d *Discovery) Contacts() []string {
	_, port, err := net.SplitHostPort(d.Peer)
	if err != nil {
		return nil
	}
	return replacePorts(d.Seeds, port)
}

// replacePorts returns addresses with their port replaced, each once.
func replacePorts(addresses []string, port string) []string {
	return lo.Uniq(lo.FilterMap(addresses, func(address string, _ int) (string, bool) {
		host, _, err := net.SplitHostPort(address)
		return net.JoinHostPort(host, port), err == nil
	}))
}
