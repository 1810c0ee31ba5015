package fsm

import (
	"slices"

	"endivespring/internal/fleet"
)

// cloneKeySpace returns a copy of a service's key space, or a new one.
func (s *State) cloneKeySpace(service string) *fleet.KeySpace {
	if space := s.View.KeySpaces[service]; space != nil {
		return space.Clone()
	}
	return fleet.NewKeySpace(service)
}

// assignRanges replaces a key space. The whole command is rejected if it was planned from
// an earlier revision, if it grants a range to an upstream that has exited or restarted,
// or if its ranges do not cover every key exactly once. A range is a new grant if its
// epoch is above LastEpoch.
func (s *State) assignRanges(c *AssignRanges, change *fleet.Change) Result {
	space := s.cloneKeySpace(c.Next.Service)
	if space.Revision != c.Revision {
		return Result{Reason: "planned from an earlier revision"}
	}
	for _, r := range c.Next.Ranges {
		if r.Epoch <= space.LastEpoch {
			continue
		}
		router, ok := s.View.Routers[r.Owner]
		if !ok || router.Upstream.Boot != r.Boot {
			return Result{Reason: "upstream of router " + string(r.Owner) + " has exited or restarted"}
		}
	}
	replacement := fleet.KeySpaceChange(c.Next)
	next := replacement.Apply(space)
	if !next.Valid() {
		return Result{Reason: "ranges do not cover every key once"}
	}
	next.Revision = space.Revision + 1
	change.KeySpaceChanges = append(change.KeySpaceChanges, fleet.DiffKeySpaces(s.View.KeySpaces[next.Service], next))
	return Result{Accepted: true}
}

// releaseRanges frees the ranges that an upstream released. Ranges that it no longer
// holds, or holds under a later epoch, are left alone. The start of the upstream is
// part of the check, so that a late release cannot free what the next start holds.
func (s *State) releaseRanges(c *ReleaseRanges, change *fleet.Change) Result {
	space := s.cloneKeySpace(c.Service)
	changed := false
	for _, release := range c.Releases {
		if release.First > release.Last || release.Last >= fleet.KeyCount {
			continue
		}
		space.Split(release.First)
		if release.Last < fleet.KeyCount-1 {
			space.Split(release.Last + 1)
		}
		for i := range space.Ranges {
			r := &space.Ranges[i]
			if r.First >= release.First && r.Last <= release.Last && r.HeldBy(c.Router, c.Boot) && r.Epoch <= release.Epoch {
				*r = fleet.KeyRange{First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: release.Handover}
				changed = true
			}
		}
	}
	if changed {
		s.appendKeySpace(change, space)
	}
	return Result{Accepted: true}
}

// grantedByRequest reports whether the upstreams of a service learn their ranges by
// requests. After a restart of such an upstream only the router beside it knows whether
// the present start has received grants that were meant for the earlier one.
func (s *State) grantedByRequest(service string) bool {
	settings := s.View.Preset.Service(service)
	return settings != nil && settings.Profile.GrantsBy == fleet.GrantByRequest
}

// freeRangesIf frees the granted and revoking ranges for which lost returns true: the
// session of their holder is closed, or its upstream has restarted.
func (s *State) freeRangesIf(change *fleet.Change, lost func(service string, r *fleet.KeyRange) bool) {
	services := make([]string, 0, len(s.View.KeySpaces))
	for service := range s.View.KeySpaces {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		space := s.cloneKeySpace(service)
		changed := false
		for i := range space.Ranges {
			r := &space.Ranges[i]
			if r.Phase != fleet.ShardFree && lost(service, r) {
				*r = fleet.KeyRange{First: r.First, Last: r.Last, Epoch: r.Epoch}
				changed = true
			}
		}
		if changed {
			s.appendKeySpace(change, space)
		}
	}
}

// appendKeySpace adds a key space with its next revision to the change of the view.
func (s *State) appendKeySpace(change *fleet.Change, space *fleet.KeySpace) {
	space.Normalize()
	space.Revision++
	change.KeySpaceChanges = append(change.KeySpaceChanges, fleet.DiffKeySpaces(s.View.KeySpaces[space.Service], space))
}
