package preset

import (
	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// Route is a route in a preset file.
type Route struct {
	Name         string            `json:"name" required:"true" kind:"name" doc:"Name of the route, shown to operators."`
	Host         string            `json:"host" required:"true" doc:"Host name of the requests, without a port."`
	Prefix       string            `json:"prefix" required:"true" doc:"Path prefix of the requests, beginning and ending with a slash; the longest match wins."`
	Idempotent   bool              `json:"idempotent" doc:"Requests may run more than once."`
	Timeout      settings.Duration `json:"timeout" required:"true" min:"1ms" max:"10m" doc:"Longest time until a caller gets an answer."`
	Objective    settings.Duration `json:"objective" default:"0s" min:"0s" max:"10m" doc:"Latency objective (SLO); a later answer is of less use; 0 if there is none."`
	Priority     int               `json:"priority" default:"0" min:"0" max:"100" doc:"Priority in queues; 0 is the highest."`
	MaxUpstreams int               `json:"maxUpstreams" default:"2" min:"1" max:"16" doc:"Largest number of upstreams that one request may be sent to."`
	Split        bool              `json:"split" doc:"Traffic split: requests are divided among the targets by weight."`
	Targets      []Target          `json:"targets" required:"true" min:"1" doc:"Services that the requests go to."`
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
