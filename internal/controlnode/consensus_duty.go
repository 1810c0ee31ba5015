package controlnode

import (
	"context"
	"slices"
	"strings"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/ring"
)

const maxProposalsPerSync = 256 // upper bound on proposals that share one sync

// consensusDuty owns the consensus core. It feeds the core with messages,
// proposals and reports from storage, and carries out the core's output.
type consensusDuty struct {
	core             *consensus.Core
	clock            clock.Clock
	inbound          *ring.Ring[*consensus.Message]
	proposals        *ring.Ring[[]byte]
	persisted        *ring.Ring[logPosition]
	compactions      *ring.Ring[compaction]
	transferRequests *ring.Ring[struct{}]
	leaseReleased    *ring.Ring[struct{}]
	seedAddresses    *ring.Ring[[]string]
	writes           *ring.Ring[storageRequest]
	updates          *ring.Ring[logUpdate]
	outbound         *outbound
	events           event.Recorder
	lastLeadership   controller.Leadership
}

// Run steps the core until the context ends. Each step is followed by the
// output that it produced, before the next input is read.
func (d *consensusDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.core.Tick(d.clock.Now())
		case message := <-d.inbound.Out():
			d.core.Tick(d.clock.Now())
			d.core.Step(message)
		case data := <-d.admittedProposals():
			d.core.Tick(d.clock.Now())
			d.propose(data)
		case p := <-d.persisted.Out():
			d.core.Persisted(p.index, p.term, d.clock.Now())
		case c := <-d.compactions.Out():
			if err := d.compactLog(ctx, c); err != nil {
				return err
			}
		case <-d.transferRequests.Out():
			d.core.TransferLeadership()
		case addresses := <-d.seedAddresses.Out():
			d.core.AddContacts(addresses)
		case <-d.leaseReleased.Out():
			d.core.LeaseReleased()
		}
		if err := d.handleOutput(ctx); err != nil {
			return err
		}
		timer.Reset(max(0, d.core.Deadline().Sub(d.clock.Now())))
	}
}

// admittedProposals returns the channel of proposals, or nil while the ring of
// storage requests is more than half full. This backpressure keeps room in that
// ring: Run would block on a full one and send no heartbeats. The next report
// from the storage duty wakes Run, which then checks again.
func (d *consensusDuty) admittedProposals() <-chan []byte {
	if d.writes.Depth() > d.writes.Capacity()/2 {
		return nil
	}
	return d.proposals.Out()
}

// propose appends a command and those queued behind it, so that one sync stores
// them all. A command is dropped if this node is not leader or is transferring
// leadership; the controller of the leader proposes again.
func (d *consensusDuty) propose(data []byte) {
	for range maxProposalsPerSync {
		if _, _, err := d.core.Propose(data); err != nil || d.proposals.Depth() == 0 {
			return
		}
		data = <-d.proposals.Out()
	}
}

// compactLog queues a snapshot and the entries after it for storage, unless the
// core has a snapshot at this index or a later one already.
func (d *consensusDuty) compactLog(ctx context.Context, c compaction) error {
	snapshot, ok := d.core.Compact(c.index, c.data)
	if !ok {
		return nil
	}
	return d.writes.Put(ctx, storageRequest{snapshot: snapshot, retained: d.core.EntriesAfterSnapshot()})
}

// handleOutput carries out what the core asks for. Messages that do not depend
// on stored state are sent at once. All others go with the entries and the hard
// state to the storage duty, which sends them only after its sync: nothing is
// acknowledged before it is on disk.
func (d *consensusDuty) handleOutput(ctx context.Context) error {
	out := d.core.Take()
	d.outbound.send(ctx, out.Immediate)
	if out.NeedsStorage() {
		if err := d.writes.Put(ctx, storageRequest{output: out, term: d.core.Term()}); err != nil {
			return err
		}
	}
	update := logUpdate{snapshot: out.Snapshot, committed: out.Committed}
	if leadership := d.leadership(); !sameLeadership(leadership, d.lastLeadership) {
		d.recordMembers(&leadership)
		d.lastLeadership = leadership
		update.leadership = &leadership
		update.reportRelease = d.core.Transferring()
	}
	if update.snapshot == nil && len(update.committed) == 0 && update.leadership == nil {
		return nil
	}
	return d.updates.Put(ctx, update)
}

func (d *consensusDuty) leadership() controller.Leadership {
	membership := d.core.Membership()
	return controller.Leadership{
		IsLeader: d.core.Role() == consensus.Leader, Term: d.core.Term(), LeaseUntil: d.core.LeaseUntil(),
		Leader: d.core.Leader().Name, Voters: nodeNames(membership.Voters), Learners: nodeNames(membership.Learners),
		Commit: d.core.CommitIndex(), Snapshot: d.core.SnapshotIndex(),
	}
}

func (d *consensusDuty) recordMembers(leadership *controller.Leadership) {
	if slices.Equal(leadership.Voters, d.lastLeadership.Voters) && slices.Equal(leadership.Learners, d.lastLeadership.Learners) {
		return
	}
	d.events.Record(event.MembersChanged, event.F("voters", strings.Join(leadership.Voters, ", ")), event.F("learners", strings.Join(leadership.Learners, ", ")))
}

func nodeNames(ids []consensus.NodeID) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, id.String())
	}
	slices.Sort(names)
	return names
}

func sameLeadership(a, b controller.Leadership) bool {
	return a.IsLeader == b.IsLeader && a.Term == b.Term && a.LeaseUntil == b.LeaseUntil && a.Leader == b.Leader &&
		a.Commit == b.Commit && a.Snapshot == b.Snapshot &&
		slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Learners, b.Learners)
}
