package controller_test

import (
	"cmp"
	"slices"
	"time"

	"endivespring/internal/controller"
)

// node is a control process. The simulation takes the place of its replicated log.
type node struct {
	sim   *simulation
	index int
	name  string
	clock driftingClock
	core  *controller.Core
	// applied is the number of log entries that the core has applied.
	applied int
	// leaseFrom is when the node may first hold the leader's lease after its
	// election.
	leaseFrom  time.Duration
	leaseUntil clockInstant
	leadership controller.Leadership
	// learnsTermAt is when the node learns, after a partition, that it is no
	// longer leader.
	learnsTermAt time.Duration
	// frozenUntil, partitionedUntil and downUntil are the ends of the faults
	// injected last.
	frozenUntil, partitionedUntil, downUntil time.Duration
}

func (n *node) restart() {
	n.core, n.applied, n.leadership, n.leaseUntil = n.sim.core(), 0, controller.Leadership{}, 0
}

// isReachable reports whether the node runs and is not partitioned.
func (n *node) isReachable() bool {
	return n.frozenUntil <= n.sim.now && n.partitionedUntil <= n.sim.now && n.downUntil <= n.sim.now
}

func (n *node) step() {
	if n.frozenUntil > n.sim.now || n.downUntil > n.sim.now {
		return
	}
	n.apply()
	now := n.clock.at(n.sim.now)
	if lead := n.currentLeadership(); lead.IsLeader != n.leadership.IsLeader || lead.Term != n.leadership.Term || lead.LeaseUntil != n.leadership.LeaseUntil || lead.Leader != n.leadership.Leader {
		n.leadership = lead
		n.core.SetLeadership(now, lead)
	}
	n.core.Tick(now)
	n.execute()
}

// apply applies the committed entries. A partitioned node learns of none.
func (n *node) apply() {
	sim := n.sim
	for n.partitionedUntil <= sim.now && n.applied < len(sim.log) {
		config := n.core.State().View.Config
		n.core.ApplyCommitted(n.clock.at(sim.now), sim.log[n.applied].term, &sim.log[n.applied].command)
		n.applied++
		view := n.core.State().View
		if view.Config > config && int(view.Config) > len(sim.configCommittedAt) {
			sim.configCommittedAt = append(sim.configCommittedAt, sim.now)
		}
		if p := view.Preset; p != nil {
			if name, ok := sim.presetNames[p.Version]; ok && name != p.Name {
				sim.fail("preset version %d is both %s and %s", p.Version, name, p.Name)
			}
			sim.presetNames[p.Version] = p.Name
		}
	}
}

// currentLeadership returns what consensus reports on this node. A deposed leader
// learns that it is deposed only after its partition has ended.
func (n *node) currentLeadership() controller.Leadership {
	sim := n.sim
	if sim.leader == n.index {
		return controller.Leadership{IsLeader: true, Term: sim.term, LeaseUntil: n.leaseUntil, Leader: n.name}
	}
	if n.leadership.IsLeader && (n.partitionedUntil > sim.now || n.learnsTermAt > sim.now) {
		return n.leadership
	}
	out := controller.Leadership{Term: sim.term}
	if sim.leader >= 0 && n.partitionedUntil <= sim.now {
		out.Leader = sim.nodes[sim.leader].name
	}
	return out
}

// execute carries out the core's output.
func (n *node) execute() {
	sim, out := n.sim, n.core.Take()
	for _, p := range out.Proposals {
		due := sim.now + time.Duration(2+sim.rng.IntN(25))*time.Millisecond
		if sim.rng.Float64() >= sim.faultRate {
			sim.pending = append(sim.pending, proposal{due: due, node: n.index, term: n.leadership.Term, command: p})
		}
	}
	slices.SortStableFunc(out.Sends, func(a, b controller.StreamMessage) int { return cmp.Compare(a.Stream, b.Stream) })
	for _, s := range out.Sends {
		if s.Message.Lease && (sim.leader != n.index || n.clock.at(sim.now) >= n.leaseUntil) {
			sim.fail("%s grants a lease without holding the leader's lease", n.name)
		}
		for _, r := range sim.routers {
			if r.stream == s.Stream {
				sim.sendDown(n, r, &s)
			}
		}
	}
}
