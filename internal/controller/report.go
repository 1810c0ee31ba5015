package controller

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Status returns the state of the fleet as this process knows it. It may be out of
// date unless the status says that this process is leader.
func (c *Core) Status(now clock.Instant) Status {
	view := c.state.View
	status := Status{
		IsLeader: c.holdsLeaderLease(now), Leader: c.leadership.Leader, Term: c.leadership.Term, Voters: c.leadership.Voters, Learners: c.leadership.Learners,
		Commit: c.leadership.Commit, Snapshot: c.leadership.Snapshot, ConfigVersion: view.Config, ViewVersion: view.Version, RoutersBehind: []string{},
	}
	if view.Preset != nil {
		status.Preset, status.PresetVersion = view.Preset.Name, view.Preset.Version
	}
	status.DataCentresOut = lo.Map(lo.Keys(view.DataCentresOut), func(d fleet.DataCentre, _ int) string { return string(d) })
	slices.Sort(status.DataCentresOut)
	status.UpstreamsOut = lo.Keys(view.UpstreamsOut)
	slices.Sort(status.UpstreamsOut)
	status.Routers = c.routerStatuses()
	for _, r := range status.Routers {
		if r.Applied >= c.state.ConfigChangedAt {
			status.RoutersUpToDate++
			continue
		}
		status.RoutersBehind = append(status.RoutersBehind, r.Router)
	}
	var others bool
	status.RoutersWorkingOnOlder, others = c.workingOnOlder(now)
	status.InForceEverywhere = status.IsLeader && !others && len(status.RoutersWorkingOnOlder) == 0
	status.Services = c.serviceStatuses()
	return status
}

// workingOnOlder returns, sorted, the routers that may still accept requests under
// an older config version, because their view lease may not have expired. It also
// reports whether there may be others, of sessions closed before this leader's term.
func (c *Core) workingOnOlder(now clock.Instant) (names []string, others bool) {
	names = []string{}
	sessions, others := c.table.MayHoldView(now)
	for _, session := range sessions {
		report := c.lastReports[session]
		if report.applied < c.state.ConfigChangedAt {
			names = append(names, string(report.router))
		}
	}
	slices.Sort(names)
	return names, others
}

// HoldsLeaderLease reports whether this process is leader and its lease has not expired, so
// that it may answer for the fleet.
func (c *Core) HoldsLeaderLease(now clock.Instant) bool { return c.holdsLeaderLease(now) }

func (c *Core) routerStatuses() []RouterStatus {
	shards := map[fleet.Session]int{}
	for shard := range c.state.View.Shards.All() {
		if shard.Phase != fleet.ShardFree {
			shards[shard.Session]++
		}
	}
	var out []RouterStatus
	for _, r := range c.state.View.Routers {
		out = append(out, RouterStatus{
			Router: string(r.ID), DataCentre: string(r.DataCentre), Upstream: r.Upstream.Name, Service: r.Upstream.Service,
			State: c.routerState(r), Session: r.Session, Applied: c.lastReports[r.Session].applied, Shards: shards[r.Session],
		})
	}
	slices.SortFunc(out, func(a, b RouterStatus) int { return cmp.Compare(a.Router, b.Router) })
	return out
}

func (c *Core) routerState(r fleet.Router) string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.Upstream.Name == "":
		return "no-upstream"
	case !c.state.View.Eligible(r):
		return "out"
	default:
		return "ready"
	}
}

func (c *Core) serviceStatuses() []ServiceStatus {
	var out []ServiceStatus
	if c.state.View.Preset == nil {
		return out
	}
	for _, service := range c.state.View.Preset.Services {
		status := ServiceStatus{Service: service.Name, Shards: int(service.Shards)}
		for number := range service.Shards {
			switch c.state.View.Shard(fleet.ShardID{Service: service.Name, Number: number}).Phase {
			case fleet.ShardGranted:
				status.Granted++
			case fleet.ShardRevoking:
				status.Revoking++
			default:
				status.Free++
			}
		}
		out = append(out, status)
	}
	return out
}

// Explain returns the owner of a key and the moves of its shard that are still in
// the history. It reports false if the service is unknown.
func (c *Core) Explain(service, key string) (Explanation, bool) {
	s := c.state.View.Preset.Service(service)
	if s == nil {
		return Explanation{}, false
	}
	id := fleet.ShardOf(service, key, s.Shards)
	shard := c.state.View.Shard(id)
	out := Explanation{
		Service: service, Key: key, Shard: id.String(), Phase: shard.Phase.String(),
		Owner: string(shard.Owner), Epoch: shard.Epoch, Moves: []Move{},
	}
	for _, change := range c.history {
		for _, moved := range change.Shards {
			if moved.ID == id {
				out.Moves = append(out.Moves, Move{Version: change.To, Phase: moved.Phase.String(), Owner: string(moved.Owner), Epoch: moved.Epoch})
			}
		}
	}
	return out, true
}
