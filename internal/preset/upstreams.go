package preset

import (
	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// Upstreams is what a preset file says of every upstream of a service.
type Upstreams struct {
	HealthPath     string            `json:"healthPath" doc:"Path of the health check; none if empty."`
	MaxConnections int               `json:"maxConnections" default:"0" min:"0" max:"65536" doc:"Largest number of connections to one upstream; 0 leaves it to its announcement."`
	Protocol       string            `json:"protocol" doc:"Protocol of the upstreams, as the front end names it."`
	TLS            bool              `json:"tls" doc:"Connections to upstreams are encrypted."`
	ColdTime       settings.Duration `json:"coldTime" default:"0s" min:"0s" max:"1h" doc:"How long an upstream stays cold after its start."`
	ColdRate       float64           `json:"coldRate" default:"0" min:"0" max:"1000000" doc:"Requests a second that a cold upstream bears; 0 if it does not say."`
	WarmUp         settings.Duration `json:"warmUp" default:"0s" min:"0s" max:"1h" doc:"How long keys stay slow that arrive without a handover."`
	GrantsBy       string            `json:"grantsBy" doc:"How upstreams learn which keys they hold, as the front end names it."`
}

func (u Upstreams) profile() fleet.UpstreamProfile {
	return fleet.UpstreamProfile{
		HealthPath: u.HealthPath, MaxConnections: u.MaxConnections, Protocol: u.Protocol, TLS: u.TLS, ColdTime: u.ColdTime.Value(),
		ColdRate: u.ColdRate, WarmUp: u.WarmUp.Value(), GrantsBy: u.GrantsBy,
	}
}

func newUpstreams(p fleet.UpstreamProfile) Upstreams {
	return Upstreams{
		HealthPath: p.HealthPath, MaxConnections: p.MaxConnections, Protocol: p.Protocol, TLS: p.TLS, ColdTime: settings.Duration(p.ColdTime),
		ColdRate: p.ColdRate, WarmUp: settings.Duration(p.WarmUp), GrantsBy: p.GrantsBy,
	}
}
