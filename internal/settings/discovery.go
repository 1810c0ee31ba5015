package settings

import (
	"net"

	"github.com/samber/lo"
)

// Discovery configures how a control process finds the others if they are not
// listed in its settings.
type Discovery struct {
	Peer       string   `json:"peer" kind:"address" doc:"Address of this process for control processes and routers; also its name among the voters."`
	Operator   string   `json:"operator" kind:"address" doc:"Address for operators; not served if not set."`
	Seeds      []string `json:"seeds" kind:"address" doc:"Addresses of control processes that are contacted first. Only their IP addresses are used; the port is that of peer."`
	FirstStart bool     `json:"firstStart" doc:"Set only when the whole fleet starts for the first time: the processes at the seeds create the control log."`
	Tolerance  int      `json:"tolerance" default:"1" min:"0" max:"4" doc:"Number of disks that may be lost at the same time. There are 2 * tolerance + 1 voters."`
}

// InUse reports whether the process discovers the others by seeds.
func (d *Discovery) InUse() bool { return len(d.Seeds) > 0 }

// problems returns the fields that discovery requires and that are missing.
func (d *Discovery) problems() Problems {
	if d.Peer == "" {
		return Problems{{Field: "discovery.peer", Message: "missing"}}
	}
	return nil
}

// Voters returns the number of voters of the fleet: a majority remains when
// Tolerance of them are lost.
func (d *Discovery) Voters() int { return 2*d.Tolerance + 1 }

// SeedAddresses returns the IP addresses of the seeds with the port of Peer.
func (d *Discovery) SeedAddresses() []string {
	_, port, err := net.SplitHostPort(d.Peer)
	if err != nil {
		return nil
	}
	return replacePorts(d.Seeds, port)
}

// replacePorts returns the addresses with their port replaced, without
// duplicates. Addresses that cannot be parsed are left out.
func replacePorts(addresses []string, port string) []string {
	return lo.Uniq(lo.FilterMap(addresses, func(address string, _ int) (string, bool) {
		host, _, err := net.SplitHostPort(address)
		return net.JoinHostPort(host, port), err == nil
	}))
}
