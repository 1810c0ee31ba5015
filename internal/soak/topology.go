package soak

import (
	"slices"
	"strconv"
)

const (
	maxDataCentres = 3 // data centres that routers are spread over
	callersEnd     = "callers"
	routersEnd     = "routers"
	pathSeparator  = ">" // joins the two ends of a path's name
)

// roster is the names of all that a plan's faults may concern.
type topology struct {
	controls, routers, upstreams []string
	paths, dataCentres, presets  []string
	// trial is set if clocks and disks can misbehave.
	clockDiskFaults bool
}

func newTopology(p *Plan) *topology {
	r := &topology{clockDiskFaults: p.Trial, dataCentres: numberedNames("dc-", min(maxDataCentres, p.Routers/2)), presets: []string{"ordinary", "peak", "maintenance"}}
	r.controls, r.routers, r.upstreams = numberedNames("control-", p.Controls), numberedNames("router-", p.Routers), numberedNames("upstream-", p.Routers)
	for _, from := range r.controls {
		r.paths = append(r.paths, pathsFrom(from, r.controls)...)
	}
	for i, router := range r.routers {
		r.paths = append(r.paths, pathsFrom(router, r.controls)...)
		r.paths = append(r.paths, callersEnd+pathSeparator+router, routersEnd+pathSeparator+router, router+pathSeparator+r.upstreams[i], r.upstreams[i]+pathSeparator+router)
	}
	return r
}

func numberedNames(prefix string, n int) []string {
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
func (r *topology) targets(kind Kind) []string {
	switch {
	case kind.ofPath():
		return r.paths
	case kind.ofClockOrDisk() && !r.clockDiskFaults:
		return nil
	case kind == Wipe, kind == SlowDisk, kind == FullDisk:
		return r.controls
	case kind == ChangePreset:
		return r.presets
	case kind == TakeOutDataCentre:
		return r.dataCentres
	case kind == Kill, kind == Terminate, kind == Freeze:
		return slices.Concat(r.controls, r.routers, r.upstreams)
	case kind == HangUp, kind == SlowClock, kind == FastClock:
		return slices.Concat(r.controls, r.routers)
	default:
		return nil
	}
}

func (r *topology) valid(f *Fault) bool { return slices.Contains(r.targets(f.Kind), f.Target) }
