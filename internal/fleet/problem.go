package fleet

import (
	"fmt"
	"strings"
	"time"
)

// maxObjectiveExcess is the limit of how far a route's latency objective may exceed
// its timeout. A larger excess suggests a wrong unit.
const maxObjectiveExcess = time.Minute

// Problem describes the first fault of the preset's routes, with the name of the
// route. It is empty if there is none.
func (p *Preset) Problem() string {
	type match struct{ host, prefix string }
	routesByMatch := map[match]string{}
	names := map[string]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if problem := p.routeProblem(r); problem != "" {
			return fmt.Sprintf("route %s: %s", r.Name, problem)
		}
		key := match{host: r.Host, prefix: r.Prefix}
		if other, ok := routesByMatch[key]; ok {
			return fmt.Sprintf("route %s: same host and prefix as route %s", r.Name, other)
		}
		if names[r.Name] {
			return fmt.Sprintf("route %s: name is used twice", r.Name)
		}
		routesByMatch[key], names[r.Name] = r.Name, true
	}
	return ""
}

func (p *Preset) routeProblem(r *Route) string {
	switch {
	case r.Name == "":
		return "name is empty"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "timeout must be positive"
	case r.MaxUpstreams < 1:
		return "the largest number of upstreams per request must be positive"
	case r.Objective < 0 || r.Objective >= r.Timeout+maxObjectiveExcess:
		return fmt.Sprintf("objective %s must not be negative or exceed timeout %s by a minute", r.Objective, r.Timeout)
	case len(r.Targets) == 0:
		return "no target service"
	default:
		return p.targetsProblem(r)
	}
}

func (p *Preset) targetsProblem(r *Route) string {
	weight := 0
	for _, t := range r.Targets {
		if p.Service(t.Service) == nil {
			return fmt.Sprintf("unknown service %s", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Sprintf("weight of service %s is negative", t.Service)
		}
		weight += t.Weight
	}
	if r.Split && weight == 0 {
		return "weights add up to zero"
	}
	return ""
}
