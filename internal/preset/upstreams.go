package preset

import (
	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// Upstreams is the configuration of a service's upstreams in a preset file.
type Upstreams struct {
	HealthPath     string            `json:"healthPath" doc:"HTTP path of the health check; none if empty."`
	MaxConnections int               `json:"maxConnections" default:"0" min:"0" max:"65536" doc:"Largest number of connections to one upstream; 0 takes the number that the upstream announces."`
	Protocol       string            `json:"protocol" doc:"Protocol of the upstreams, by the front end's name for it."`
	TLS            bool              `json:"tls" doc:"Connections to upstreams are encrypted."`
	ColdTime       settings.Duration `json:"coldTime" default:"0s" min:"0s" max:"1h" doc:"Duration of an upstream's cold start."`
	ColdRate       float64           `json:"coldRate" default:"0" min:"0" max:"1000000" doc:"Capacity of a cold upstream in requests a second; 0 if not known."`
	WarmUp         settings.Duration `json:"warmUp" default:"0s" min:"0s" max:"1h" doc:"How long requests for a key are slower after it was granted without a handover."`
	GrantsBy       string            `json:"grantsBy" doc:"How upstreams learn which keys are granted to them: heartbeat (in the answers to their heartbeats; used if empty) or request (by requests sent to them)."`
}

func (u Upstreams) profile() fleet.UpstreamProfile {
	return fleet.UpstreamProfile{
		HealthPath: u.HealthPath, MaxConnections: u.MaxConnections, Protocol: u.Protocol, TLS: u.TLS, ColdTime: u.ColdTime.Value(),
		ColdRate: u.ColdRate, WarmUp: u.WarmUp.Value(), GrantsBy: fleet.GrantMechanism(u.GrantsBy),
	}
}

func newUpstreams(p fleet.UpstreamProfile) Upstreams {
	return Upstreams{
		HealthPath: p.HealthPath, MaxConnections: p.MaxConnections, Protocol: p.Protocol, TLS: p.TLS, ColdTime: settings.Duration(p.ColdTime),
		ColdRate: p.ColdRate, WarmUp: settings.Duration(p.WarmUp), GrantsBy: string(p.GrantsBy),
	}
}
