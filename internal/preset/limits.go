package preset

import (
	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// Limits is the part of a preset file that bounds requests and connections of
// callers.
type Limits struct {
	MaxHeader     int               `json:"maxHeader" default:"0" min:"0" max:"1048576" doc:"Largest header of a request, in bytes; 0 leaves it to the router's settings."`
	MaxBody       int               `json:"maxBody" default:"0" min:"0" max:"67108864" doc:"Largest body of a request, in bytes; 0 leaves it to the router's settings."`
	HeaderTimeout settings.Duration `json:"headerTimeout" default:"0s" min:"0s" max:"10m" doc:"Longest time for a request's header to arrive; a router may allow more."`
	IdleTimeout   settings.Duration `json:"idleTimeout" default:"0s" min:"0s" max:"1h" doc:"Time after which an unused connection may be closed; a router may keep it longer."`
}

func (l Limits) limits() fleet.CallerLimits {
	return fleet.CallerLimits{MaxHeader: l.MaxHeader, MaxBody: l.MaxBody, HeaderTimeout: l.HeaderTimeout.Value(), IdleTimeout: l.IdleTimeout.Value()}
}

func newLimits(l fleet.CallerLimits) Limits {
	return Limits{
		MaxHeader: l.MaxHeader, MaxBody: l.MaxBody, HeaderTimeout: settings.Duration(l.HeaderTimeout), IdleTimeout: settings.Duration(l.IdleTimeout),
	}
}
