package fsm

import (
	"slices"

	"endivespring/internal/fleet"
)

// keySpace returns a copy of a service's key space that may be changed.
func (s *State) keySpace(service string) *fleet.KeySpace {
	if space := s.View.KeySpaces[service]; space != nil {
		return space.Clone()
	}
	return fleet.NewKeySpace(service)
}

// assignRanges replaces a key space. Epochs that are not above the last one
// granted, or owners that are gone, void the whole command.
func (s *State) assignRanges(c *AssignRanges, change *fleet.Change) Result {
	space := s.keySpace(c.Next.Service)
	if space.Revision != c.Revision {
		return Result{Reason: "planned from an earlier revision"}
	}
	for _, r := range c.Next.Ranges {
		if r.Epoch <= space.LastEpoch {
			continue
		}
		router, ok := s.View.Routers[r.Owner]
		if !ok || router.Upstream.Boot != r.Boot {
			return Result{Reason: "upstream of router " + string(r.Owner) + " is gone"}
		}
	}
	if !c.Next.Whole() {
		return Result{Reason: "ranges do not cover every key once"}
	}
	next := c.Next.Clone()
	next.Revision = space.Revision + 1
	change.KeySpaces = append(change.KeySpaces, *next)
	return Result{Accepted: true}
}

// releaseRanges frees what one start of an upstream gave back.
func (s *State) releaseRanges(c *ReleaseRanges, change *fleet.Change) Result {
	space := s.keySpace(c.Service)
	freed := false
	for _, release := range c.Releases {
		if release.First > release.Last || release.Last >= fleet.Keys {
			continue
		}
		space.Split(release.First)
		if release.Last < fleet.Keys-1 {
			space.Split(release.Last + 1)
		}
		for i := range space.Ranges {
			r := &space.Ranges[i]
			if r.First >= release.First && r.Last <= release.Last && r.HeldBy(c.Router, c.Boot) && r.Epoch <= release.Epoch {
				*r = fleet.KeyRange{First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: release.Handover}
				freed = true
			}
		}
	}
	if freed {
		addKeySpace(change, space)
	}
	return Result{Accepted: true}
}

// freeLostRanges frees the ranges of a service whose holder is gone: its router
// has no session, or another start of the upstream took its place.
func (s *State) freeLostRanges(change *fleet.Change, lost func(r *fleet.KeyRange) bool) {
	services := make([]string, 0, len(s.View.KeySpaces))
	for service := range s.View.KeySpaces {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		space := s.keySpace(service)
		freed := false
		for i := range space.Ranges {
			r := &space.Ranges[i]
			if r.Phase != fleet.ShardFree && lost(r) {
				*r = fleet.KeyRange{First: r.First, Last: r.Last, Epoch: r.Epoch}
				freed = true
			}
		}
		if freed {
			addKeySpace(change, space)
		}
	}
}

func addKeySpace(change *fleet.Change, space *fleet.KeySpace) {
	space.Normalize()
	space.Revision++
	change.KeySpaces = append(change.KeySpaces, *space)
}
