package controller

import (
	"math"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/placement"
	"endivespring/internal/session"
)

// rebalanceInterval is the time between plans while nothing but the reported load
// of keys changes.
const rebalanceInterval = 300 * time.Millisecond

// plan proposes the next grants and revocations of shards and ranges, at most one
// plan at a time.
func (c *Core) plan(now clock.Instant) {
	waiting := c.assignProposedAt != 0 && now.Sub(c.assignProposedAt) < reproposeInterval
	if waiting || !c.planDue && now < c.replanAt {
		return
	}
	limits := c.limits
	limits.DelayFirstGrants, limits.SuspendRebalancing = c.joins.delayFirstGrants(now), c.joins.suspendRebalancing(now)
	commands := c.planCommands(now, limits)
	// Planning goes on until a plan is empty: a proposal may be lost, and entries
	// that are committed before it may invalidate parts of it.
	c.planDue = len(commands) > 0
	c.replanAt = c.joins.deadline(now)
	if len(c.keyLoads) > 0 {
		c.replanAt = min(c.replanAt, now.Add(rebalanceInterval))
	}
	if c.planDue {
		c.assignProposedAt = now
	}
	for _, command := range commands {
		c.propose(command)
	}
}

// planCommands returns the commands that change ownership now, at most one for the
// shards and one for each service with ranges.
func (c *Core) planCommands(now clock.Instant, limits placement.Limits) []fsm.Command {
	var commands []fsm.Command
	if assign := placement.Plan(c.state.View, limits); !assign.Empty() {
		commands = append(commands, fsm.Command{Assign: assign})
	}
	if c.state.View.Preset == nil {
		return commands
	}
	for i := range c.state.View.Preset.Services {
		service := &c.state.View.Preset.Services[i]
		if !service.Ranged {
			continue
		}
		loads := c.keyLoads[service.Name]
		if loads != nil {
			loads.Prune(now, c.state.View)
		}
		if assign, moves := placement.PlanRangeMoves(c.state.View, service.Name, loads, limits); assign != nil {
			commands = append(commands, fsm.Command{AssignRanges: assign})
			if loads != nil {
				loads.FollowMoves(now, moves)
			}
			c.logMoves(service.Name, moves)
		}
	}
	return commands
}

// handleRangeReports proposes the release of the ranges of keys that a router
// reports as no longer held by its upstream, and records the load of the others.
func (c *Core) handleRangeReports(now clock.Instant, up *session.RouterMessage, router fleet.Router) {
	for _, report := range up.RangeReports {
		c.propose(fsm.Command{ReleaseRanges: &fsm.ReleaseRanges{
			Service: report.Service, Router: router.ID, Boot: report.Boot, Releases: report.Releases,
		}})
	}
	service := router.Upstream.Service
	if len(up.KeyLoads) == 0 || service == "" {
		return
	}
	loads := c.keyLoads[service]
	if loads == nil {
		loads = placement.NewKeyLoads()
		c.keyLoads[service] = loads
	}
	boot := router.Upstream.Boot
	loads.AddRunTime(boot, up.RunTime)
	if c.limits.Policy.ByCapacity {
		loads.AddLimit(boot, router.Upstream.Slots, up.Limit)
	}
	for _, load := range up.KeyLoads {
		loads.Update(boot, load.First, load.Last, load.Rate)
	}
	loads.Reported(now, boot)
}

// followKeySpaces notes which upstreams got or gave keys by a change, so that their rates
// are not taken for the present load before they show it.
func (c *Core) followKeySpaces(change *fleet.Change, before map[string]*fleet.KeySpace) {
	if change == nil || !c.limits.Policy.ByCapacity {
		return
	}
	for i := range change.KeySpaceChanges {
		changed := &change.KeySpaceChanges[i]
		if loads := c.keyLoads[changed.Service]; loads != nil {
			loads.Follow(before[changed.Service], changed)
		}
	}
}

// logMoves logs the moves of a proposed plan with the figures that they were decided from.
func (c *Core) logMoves(service string, moves []placement.Move) {
	c.keyMoves += uint64(len(moves))
	for i := range moves {
		m := &moves[i]
		c.logEvent(event.RangeMoved, event.F("service", service), event.F("first", m.First), event.F("last", m.Last),
			event.F("from", string(m.From)), event.F("to", string(m.To)), event.F("load", tenths(m.Load)), event.F("demand", tenths(m.Demand)),
			event.F("capacity", tenths(m.Capacity)), event.F("room", tenths(m.Room)), event.F("gain", tenths(m.Gain)), event.F("cost", tenths(m.Cost)))
	}
}

func tenths(value float64) float64 { return math.Round(10*value) / 10 }

// KeyMoves returns the number of moves of keys by capacity that this process has planned.
func (c *Core) KeyMoves() uint64 { return c.keyMoves }

// logRanges logs an event for each range of a change whose phase or epoch differs
// from before. Only the leader logs them.
func (c *Core) logRanges(change *fleet.Change, before map[string]*fleet.KeySpace) {
	if change == nil || !c.leadership.IsLeader {
		return
	}
	for i := range change.KeySpaceChanges {
		changed := &change.KeySpaceChanges[i]
		for j := range changed.Ranges {
			r := &changed.Ranges[j]
			old := before[changed.Service]
			if old != nil {
				if known := old.Find(r.First); known.Phase == r.Phase && known.Epoch == r.Epoch && known.First <= r.First && known.Last >= r.Last {
					continue
				}
			}
			c.logEvent(rangeEvent(r.Phase), event.F("service", changed.Service), event.F("first", r.First), event.F("last", r.Last),
				event.F("owner", string(r.Owner)), event.F("boot", r.Boot), event.F("epoch", uint64(r.Epoch)), event.F("handover", r.Handover != ""))
		}
	}
}

func rangeEvent(phase fleet.ShardPhase) *event.Definition {
	switch phase {
	case fleet.ShardGranted:
		return event.RangeGranted
	case fleet.ShardRevoking:
		return event.RangeRevoked
	default:
		return event.RangeFreed
	}
}
