package soak

import (
	"slices"
	"strconv"
)

const (
	centres       = 3 // data centres that routers are spread over
	callers       = "callers"
	routers       = "routers"
	pathSeparator = ">" // joins the two ends of a path's name
)

// roster is the names of all that a plan's faults may concern.
type roster struct {
	controls, routers, upstreams []string
	paths, centres, presets      []string
	// trial is set if clocks and disks can misbehave.
	trial bool
}

func newRoster(p *Plan) *roster {
	r := &roster{trial: p.Trial, centres: numbered("dc-", min(centres, p.Routers/2)), presets: []string{"ordinary", "peak", "maintenance"}}
	r.controls, r.routers, r.upstreams = numbered("control-", p.Controls), numbered("router-", p.Routers), numbered("upstream-", p.Routers)
	for _, from := range r.controls {
		r.paths = append(r.paths, pathsFrom(from, r.controls)...)
	}
	for i, router := range r.routers {
		r.paths = append(r.paths, pathsFrom(router, r.controls)...)
		r.paths = append(r.paths, callers+pathSeparator+router, routers+pathSeparator+router, router+pathSeparator+r.upstreams[i], r.upstreams[i]+pathSeparator+router)
	}
	return r
}

func numbered(prefix string, n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, prefix+strconv.Itoa(i+1))
	}
	return names
}

func pathsFrom(from string, to []string) []string {
	var paths []string
	for _, name := range to {
		if name != from {
			paths = append(paths, from+pathSeparator+name)
		}
	}
	return paths
}

// targets returns what a kind may concern.
func (r *roster) targets(kind Kind) []string {
	switch {
	case kind.ofPath():
		return r.paths
	case kind.ofTrial() && !r.trial:
		return nil
	case kind == Wipe, kind == SlowDisk, kind == FullDisk:
		return r.controls
	case kind == Change:
		return r.presets
	case kind == TakeOut:
		return r.centres
	case kind == Kill, kind == Terminate, kind == Freeze:
		return slices.Concat(r.controls, r.routers, r.upstreams)
	case kind == Hang, kind == SlowClock, kind == FastClock:
		return slices.Concat(r.controls, r.routers)
	default:
		return nil
	}
}

func (r *roster) allows(f *Fault) bool { return slices.Contains(r.targets(f.Kind), f.Target) }
