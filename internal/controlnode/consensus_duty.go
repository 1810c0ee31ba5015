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

const maxProposalsPerSync = 256 // proposals appended before the next sync

// consensusDuty owns the consensus core.
type consensusDuty struct {
	core           *consensus.Core
	clock          clock.Clock
	inbound        *ring.Ring[*consensus.Message]
	proposals      *ring.Ring[[]byte]
	persisted      *ring.Ring[logPosition]
	compactions    *ring.Ring[compaction]
	transfer       *ring.Ring[struct{}]
	leaseReleased  *ring.Ring[struct{}]
	contacts       *ring.Ring[[]string]
	writes         *ring.Ring[storageRequest]
	updates        *ring.Ring[logUpdate]
	outbound       *outbound
	events         event.Recorder
	lastLeadership controller.Leadership
}

// Run steps the core until the context ends.
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
		case <-d.transfer.Out():
			d.core.Transfer()
		case names := <-d.contacts.Out():
			d.core.Contact(names)
		case <-d.leaseReleased.Out():
			d.core.LeaseReleased()
		}
		if err := d.handleOutput(ctx); err != nil {
			return err
		}
		timer.Reset(max(0, d.core.Deadline().Sub(d.clock.Now())))
	}
}

// admittedProposals returns the proposals, or nothing while storage is far behind: a
// full ring of writes would stop the heartbeats too. A report of storage wakes
// the duty.
func (d *consensusDuty) admittedProposals() <-chan []byte {
	if d.writes.Depth() > d.writes.Capacity()/2 {
		return nil
	}
	return d.proposals.Out()
}

// propose appends a command and those that wait behind it, so that one sync
// stores them all. A node that does not lead drops them: the controller
// proposes again.
func (d *consensusDuty) propose(data []byte) {
	for range maxProposalsPerSync {
		if _, _, err := d.core.Propose(data); err != nil || d.proposals.Depth() == 0 {
			return
		}
		data = <-d.proposals.Out()
	}
}

func (d *consensusDuty) compactLog(ctx context.Context, c compaction) error {
	snapshot, ok := d.core.Compact(c.index, c.data)
	if !ok {
		return nil
	}
	return d.writes.Put(ctx, storageRequest{snapshot: snapshot, retained: d.core.Rest()})
}

// handleOutput carries out what the core asks for. Messages that depend on stored
// state go through the storage duty.
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
		Leads: d.core.Role() == consensus.Leader, Term: d.core.Term(), LeaseUntil: d.core.LeaseUntil(),
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
	return a.Leads == b.Leads && a.Term == b.Term && a.LeaseUntil == b.LeaseUntil && a.Leader == b.Leader &&
		a.Commit == b.Commit && a.Snapshot == b.Snapshot &&
		slices.Equal(a.Voters, b.Voters) && slices.Equal(a.Learners, b.Learners)
}
