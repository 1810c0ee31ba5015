package preset

import (
	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// Route is a route as a preset file writes it.
type Route struct {
	Name         string            `json:"name" required:"true" kind:"name" doc:"Name shown to operators."`
	Host         string            `json:"host" required:"true" doc:"Host of the requests, without a port."`
	Prefix       string            `json:"prefix" required:"true" doc:"Beginning of their paths, from slash to slash; the longest one that fits counts."`
	Idempotent   bool              `json:"idempotent" doc:"Requests may run more than once."`
	Timeout      settings.Duration `json:"timeout" required:"true" min:"1ms" max:"10m" doc:"Longest time that a caller is kept waiting."`
	Objective    settings.Duration `json:"objective" default:"0s" min:"0s" max:"10m" doc:"Latency within which an answer is of full use; 0 if none is set."`
	Priority     int               `json:"priority" default:"0" min:"0" max:"100" doc:"Rank; 0 is the highest."`
	MaxUpstreams int               `json:"maxUpstreams" default:"2" min:"1" max:"16" doc:"Upstreams that may get one request."`
	Split        bool              `json:"split" doc:"Requests are shared by the weights of the targets."`
	Targets      []Target          `json:"targets" required:"true" min:"1" doc:"Services that get the requests."`
}

func (r Route) route() fleet.Route {
	return fleet.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Timeout: r.Timeout.Value(), Objective: r.Objective.Value(),
		Priority: r.Priority, MaxUpstreams: r.MaxUpstreams, Split: r.Split,
		Targets: lo.Map(r.Targets, func(t Target, _ int) fleet.Target { return fleet.Target{Service: t.Name, Weight: t.Weight} }),
	}
}

func newRoute(r fleet.Route) Route {
	return Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Timeout: settings.Duration(r.Timeout),
		Objective: settings.Duration(r.Objective), Priority: r.Priority, MaxUpstreams: r.MaxUpstreams, Split: r.Split,
		Targets: lo.Map(r.Targets, func(t fleet.Target, _ int) Target { return Target{Name: t.Service, Weight: t.Weight} }),
	}
}
