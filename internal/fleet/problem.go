package fleet

import (
	"fmt"
	"strings"
	"time"
)

// objectiveSlack is the time by which a route's objective may at most exceed
// its timeout: more is taken for a wrong unit.
const objectiveSlack = time.Minute

// Problem returns what is wrong with the preset's routes, naming the route, or
// nothing. A preset without routes has no problem.
func (p *Preset) Problem() string {
	type place struct{ host, prefix string }
	places := map[place]string{}
	names := map[string]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if problem := p.routeProblem(r); problem != "" {
			return fmt.Sprintf("route %s: %s", r.Name, problem)
		}
		at := place{host: r.Host, prefix: r.Prefix}
		if other, ok := places[at]; ok {
			return fmt.Sprintf("route %s: same host and prefix as route %s", r.Name, other)
		}
		if names[r.Name] {
			return fmt.Sprintf("route %s: name is used twice", r.Name)
		}
		places[at], names[r.Name] = r.Name, true
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
		return "the number of upstreams that may get a request must be positive"
	case r.Objective < 0 || r.Objective >= r.Timeout+objectiveSlack:
		return fmt.Sprintf("objective %s does not fit timeout %s", r.Objective, r.Timeout)
	case len(r.Targets) == 0:
		return "no service"
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
