package controlnode

import (
	"bytes"
	"context"
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/ring"
	"endivespring/internal/storage"
)

const (
	testTimeout       = 20 * time.Second // bound on one test's waits
	testWriteCapacity = 16
)

var voters = consensus.Membership{Voters: []consensus.NodeID{{Name: "a"}, {Name: "b"}, {Name: "c"}}}

// consensusHarness runs a consensus duty; the test holds the other ends of its
// rings.
type consensusHarness struct {
	*consensusDuty
	group *duty.Group
	ctx   context.Context
}

func newConsensusHarness(t *testing.T, id consensus.NodeID, peers []string, stored *consensus.Stored) *consensusHarness {
	timeSource := clock.NewMonotonic()
	d := &consensusDuty{
		events: event.NewLog(&bytes.Buffer{}, "test"), clock: timeSource, outbound: newOutbound(256),
		inbound:          ring.New[*consensus.Message]("in", 64, ring.DropOldest),
		proposals:        ring.New[[]byte]("proposals", 64, ring.Refuse),
		persisted:        ring.New[logPosition]("persisted", 1, ring.DropOldest),
		compactions:      ring.New[compaction]("compactions", 1, ring.Refuse),
		transferRequests: ring.New[struct{}]("transfer", 1, ring.Refuse),
		leaseReleased:    ring.New[struct{}]("released", 1, ring.Refuse),
		seedAddresses:    ring.New[[]string]("contacts", 1, ring.DropOldest),
		writes:           ring.New[storageRequest]("writes", testWriteCapacity, ring.Wait),
		updates:          ring.New[logUpdate]("updates", 8, ring.Wait),
	}
	d.core = consensus.New(consensus.Config{
		ID: id, Peers: peers, HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 100 * time.Millisecond,
		DriftMargin: 10 * time.Millisecond, MaxBatch: 64,
	}, stored, timeSource.Now())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	h := &consensusHarness{consensusDuty: d, group: duty.NewGroup(ctx), ctx: ctx}
	t.Cleanup(func() {
		h.group.Stop()
		assert.NilError(t, h.group.Wait())
		cancel()
	})
	h.group.Go("consensus", d.Run)
	return h
}

func newOutbound(capacity int) *outbound {
	return &outbound{messages: ring.New[consensus.Message]("out", capacity, ring.DropOldest)}
}

func (h *consensusHarness) startStorage(t *testing.T, disk *storage.Disk) {
	s := &storageDuty{disk: disk, writes: h.writes, persisted: h.persisted, outbound: h.outbound}
	h.group.Go("storage", s.Run)
	t.Cleanup(func() { _ = disk.Close() })
}

func openTestDisk(t *testing.T, name string) *storage.Disk {
	disk, _, err := storage.Open(t.TempDir(), "fleet", name)
	assert.NilError(t, err)
	return disk
}

// reply answers a message as a voter that accepts everything.
func (h *consensusHarness) reply(m *consensus.Message) {
	kinds := map[consensus.MessageKind]consensus.MessageKind{
		consensus.PreVote: consensus.PreVoteReply, consensus.Vote: consensus.VoteReply,
		consensus.Heartbeat: consensus.HeartbeatReply, consensus.Append: consensus.AppendReply,
	}
	reply := &consensus.Message{Kind: kinds[m.Kind], From: m.To, To: m.From, Term: m.Term, Sent: m.Sent}
	if m.Kind == consensus.Append {
		reply.Index = m.Index + uint64(len(m.Entries))
	}
	_ = h.inbound.Put(h.ctx, reply)
}

// Guards against a leader that stops its heartbeats because the storage duty is
// stalled: with no write completed and proposals arriving without pause,
// heartbeats must go on.
func TestStalledDiskKeepsLeadership(t *testing.T) {
	stored := &consensus.Stored{HardState: consensus.HardState{Term: 1}, Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Membership: voters}}
	h := newConsensusHarness(t, voters.Voters[0], []string{"a", "b", "c"}, stored)
	isLeader, stalled, heartbeats := false, false, 0
	for heartbeats < 60 {
		if !isLeader {
			select {
			case request := <-h.writes.Out():
				h.outbound.send(h.ctx, request.output.AfterSync)
			default:
			}
		}
		for isLeader && h.proposals.Put(h.ctx, []byte("command")) == nil {
		}
		select {
		case m := <-h.outbound.messages.Out():
			if m.To.Name != "b" {
				continue
			}
			isLeader = isLeader || m.Kind == consensus.Heartbeat
			if stalled = stalled || h.writes.Depth() > testWriteCapacity/2; stalled && m.Kind == consensus.Heartbeat {
				heartbeats++
			}
			h.reply(&m)
		case <-h.updates.Out():
		case <-time.After(time.Millisecond):
			assert.NilError(t, h.ctx.Err(), "no heartbeats, writes waiting: %d", h.writes.Depth())
		}
	}
}

// The ring of persist reports drops the oldest one when it is full. Under many
// proposals to a single voter every command must still be committed, in order.
func TestDroppedPersistReportsLoseNoCommand(t *testing.T) {
	disk := openTestDisk(t, "a")
	h := newConsensusHarness(t, disk.NodeID(), []string{"a"}, &consensus.Stored{})
	h.startStorage(t, disk)
	const commands = 3000
	var proposed, applied, compacted uint64
	isLeader := false
	for applied < commands {
		for proposed < commands && proposed < applied+64 && isLeader &&
			h.proposals.Put(h.ctx, binary.LittleEndian.AppendUint64(nil, proposed)) == nil {
			proposed++
		}
		update, err := h.updates.Take(h.ctx)
		assert.NilError(t, err, "%d of %d applied", applied, proposed)
		isLeader = isLeader || update.leadership != nil && update.leadership.IsLeader
		for _, e := range update.committed {
			if e.Kind == consensus.EntryCommand {
				assert.Equal(t, binary.LittleEndian.Uint64(e.Data), applied)
				applied++
			}
			if e.Index >= compacted+64 && h.compactions.Put(h.ctx, compaction{index: e.Index, data: []byte("state")}) == nil {
				compacted = e.Index
			}
		}
	}
}

// A failed write must stop the group of duties. Messages that depend on the
// write must not be sent, nor may the write be reported as persisted.
func TestFailedWriteStopsTheProcess(t *testing.T) {
	disk := openTestDisk(t, "a")
	assert.NilError(t, disk.Close())
	out := newOutbound(4)
	s := &storageDuty{
		disk: disk, outbound: out, writes: ring.New[storageRequest]("writes", 4, ring.Wait),
		persisted: ring.New[logPosition]("persisted", 4, ring.DropOldest),
	}
	assert.NilError(t, s.writes.Put(context.Background(), storageRequest{term: 1, output: consensus.Output{
		Entries:   []consensus.Entry{{Index: 1, Term: 1}},
		AfterSync: []consensus.Message{{Kind: consensus.AppendReply, To: voters.Voters[1]}},
	}}))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	group := duty.NewGroup(ctx)
	group.Go("storage", s.Run)
	err := group.Wait()
	assert.ErrorContains(t, err, "duty storage: append to log")
	assert.Equal(t, out.messages.Depth()+s.persisted.Depth(), 0)
}

// Stores more entries than the ring of persist reports holds; the last report
// must remain.
func TestNewestPersistReportIsKept(t *testing.T) {
	disk := openTestDisk(t, "a")
	defer func() { _ = disk.Close() }()
	out := newOutbound(4)
	s := &storageDuty{
		disk: disk, outbound: out, writes: ring.New[storageRequest]("writes", 4, ring.Wait),
		persisted: ring.New[logPosition]("persisted", 1, ring.DropOldest),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for index := uint64(1); index <= 4; index++ {
		request := storageRequest{term: 1, output: consensus.Output{Entries: []consensus.Entry{{Index: index, Term: 1}}}}
		if index == 4 {
			request.output.AfterSync = []consensus.Message{{Kind: consensus.AppendReply, To: voters.Voters[1]}}
		}
		assert.NilError(t, s.writes.Put(ctx, request))
	}
	group := duty.NewGroup(ctx)
	group.Go("storage", s.Run)
	_, err := out.messages.Take(ctx)
	assert.NilError(t, err)
	group.Stop()
	assert.NilError(t, group.Wait())
	report, err := s.persisted.Take(ctx)
	assert.NilError(t, err)
	assert.Equal(t, report.index, uint64(4))
}

// The longer timeout must hold until the large message itself is acknowledged,
// not only until the next acknowledgement.
func TestLargeMessagesExtendTheTimeout(t *testing.T) {
	s := newPeerStream("fleet", nil, func() {})
	assert.Assert(t, !s.countSent(100))
	assert.Assert(t, s.countSent(10*minTransferRate))
	assert.Assert(t, !s.countSent(100))
	for acknowledged, want := range []time.Duration{10*time.Second + acknowledgeTimeout, 10*time.Second + acknowledgeTimeout, acknowledgeTimeout, acknowledgeTimeout} {
		assert.Equal(t, s.timeoutAfter(uint64(acknowledged)), want)
	}
}

// A compaction that does not fit into the ring must be requested again with the
// next update.
func TestRefusedCompactionIsRetried(t *testing.T) {
	ctx := context.Background()
	d := &controllerDuty{
		core:        controller.New(lease.Timing{}, placement.Limits{}, func(string) string { return "" }),
		compactions: ring.New[compaction]("compactions", 1, ring.Refuse), snapshotInterval: 10, snapshotBytes: 1 << 20, applied: 10,
	}
	assert.NilError(t, d.compactions.Put(ctx, compaction{}))
	assert.NilError(t, d.compactIfDue(ctx))
	<-d.compactions.Out()
	d.applied = 11
	assert.NilError(t, d.compactIfDue(ctx))
	assert.Equal(t, d.compactions.Depth(), 1)
	assert.Equal(t, (<-d.compactions.Out()).index, uint64(11))
	assert.NilError(t, d.compactIfDue(ctx))
	assert.Equal(t, d.compactions.Depth(), 0)
}

// Guards against control processes whose memory and disk fill with a log of few large
// entries, such as whole configurations.
func TestLargeEntriesAreCompactedSooner(t *testing.T) {
	ctx := context.Background()
	d := &controllerDuty{
		core:        controller.New(lease.Timing{}, placement.Limits{}, func(string) string { return "" }),
		compactions: ring.New[compaction]("compactions", 1, ring.Refuse), snapshotInterval: 1000, snapshotBytes: 100,
	}
	for index := uint64(1); index <= 6; index++ {
		entry := consensus.Entry{Index: index, Term: 1, Kind: consensus.EntryBarrier, Data: make([]byte, 40)}
		assert.NilError(t, d.applyUpdate(ctx, &logUpdate{committed: []consensus.Entry{entry}}))
		due := index%3 == 0
		assert.Equal(t, d.compactions.Depth() == 1, due, "after %d entries", index)
		if due {
			assert.Equal(t, (<-d.compactions.Out()).index, index)
		}
	}
}

// Guards against two leaders that both rely on a lease: a stopping leader must
// tell its successor to start an election only after the controller has
// reported that it no longer relies on the lease.
func TestTransferWaitsForLeaseRelease(t *testing.T) {
	stored := &consensus.Stored{HardState: consensus.HardState{Term: 1}, Snapshot: &consensus.Snapshot{Index: 1, Term: 1, Membership: voters}}
	h := newConsensusHarness(t, voters.Voters[0], []string{"a", "b", "c"}, stored)
	transferRequested, released := false, false
	take := func(m consensus.Message) bool {
		h.reply(&m)
		return m.Kind == consensus.TimeoutNow
	}
	for done := false; !done; {
		select {
		case request := <-h.writes.Out():
			h.outbound.send(h.ctx, request.output.AfterSync)
		case m := <-h.outbound.messages.Out():
			done = take(m)
		case update := <-h.updates.Out():
			if update.leadership != nil && update.leadership.LeaseUntil > 0 && !transferRequested {
				transferRequested = true
				assert.NilError(t, h.transferRequests.Put(h.ctx, struct{}{}))
			}
			if update.reportRelease && !released {
				assert.Equal(t, update.leadership.LeaseUntil, clock.Instant(0))
				released = true
				assert.NilError(t, h.leaseReleased.Put(h.ctx, struct{}{}))
			}
		case <-h.ctx.Done():
			t.Fatal("no request to the successor")
		}
	}
	assert.Assert(t, released)
}
