package soak

import (
	"slices"
	"strconv"
)

const (
	maxDataCentres = 3 // routers are spread over at most so many data centres
	callersEnd     = "callers"
	routersEnd     = "routers"
	pathSeparator  = ">" // between the two ends in the name of a path
)

// topology holds the names of all possible targets of a plan's faults.
type topology struct {
	controls, routers, upstreams []string
	paths, dataCentres, presets  []string
	// clockDiskFaults is set if faults of clocks and disks can be injected.
	clockDiskFaults bool
}

func newTopology(p *Plan) *topology {
	t := &topology{clockDiskFaults: p.ClockDiskFaults, dataCentres: numberedNames("dc-", min(maxDataCentres, p.Routers/2)), presets: []string{"ordinary", "peak", "maintenance"}}
	t.controls, t.routers, t.upstreams = numberedNames("control-", p.Controls), numberedNames("router-", p.Routers), numberedNames("upstream-", p.Routers)
	for _, from := range t.controls {
		t.paths = append(t.paths, pathsFrom(from, t.controls)...)
	}
	for i, router := range t.routers {
		t.paths = append(t.paths, pathsFrom(router, t.controls)...)
		t.paths = append(t.paths, callersEnd+pathSeparator+router, routersEnd+pathSeparator+router, router+pathSeparator+t.upstreams[i], t.upstreams[i]+pathSeparator+router)
	}
	return t
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

// targets returns the names that a kind applies to.
func (t *topology) targets(kind Kind) []string {
	switch {
	case kind.ofPath():
		return t.paths
	case kind.ofClockOrDisk() && !t.clockDiskFaults:
		return nil
	case kind == Wipe, kind == SlowDisk, kind == FullDisk:
		return t.controls
	case kind == ChangePreset:
		return t.presets
	case kind == TakeOutDataCentre:
		return t.dataCentres
	case kind == Kill, kind == Terminate, kind == Freeze:
		return slices.Concat(t.controls, t.routers, t.upstreams)
	case kind == HangUp, kind == SlowClock, kind == FastClock:
		return slices.Concat(t.controls, t.routers)
	default:
		return nil
	}
}

func (t *topology) valid(f *Fault) bool { return slices.Contains(t.targets(f.Kind), f.Target) }
