package controlnode

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/fsm"
	"endivespring/internal/metrics"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
)

// controllerDuty owns the replicated state machine and the controller core,
// which decides on sessions, ownership and operators' commands.
type controllerDuty struct {
	core         *controller.Core
	clock        clock.Clock
	events       event.Recorder
	updates      *ring.Ring[logUpdate]
	streamEvents *ring.Ring[streamEvent]
	operators    *ring.Ring[operator.Request]
	proposals    *ring.Ring[[]byte]
	compactions  *ring.Ring[compaction]
	// leaseReleased reports to the consensus duty that the controller no longer
	// relies on the leader lease, which was released for a leadership transfer.
	leaseReleased *ring.Ring[struct{}]
	// snapshotInterval is the largest number of applied entries between snapshots, and
	// snapshotBytes the size of entries after which one is taken even if they are fewer.
	snapshotInterval uint64
	snapshotBytes    int
	meter            *metrics.ControlMeter
	changeCache      changeCache

	// streams holds the latest event of each open stream, for its ring and
	// cancel.
	streams map[controller.StreamID]streamEvent
	// pendingCommands holds the changes that wait for their outcome, by token.
	pendingCommands map[uint64]pendingCommand
	lastToken       uint64
	applied         uint64
	compacted       uint64
	// uncompactedBytes is the size of the entries applied since the latest snapshot.
	uncompactedBytes int
}

// Run steps the core until the context ends.
func (d *controllerDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.core.Tick(d.clock.Now())
			d.meter.SetRoutersBehind(d.core.RoutersBehind())
			d.meter.SetKeyMoves(d.core.KeyMoves())
			timer.Reset(max(time.Millisecond, d.core.Deadline().Sub(d.clock.Now())))
		case update := <-d.updates.Out():
			if err := d.applyUpdate(ctx, &update); err != nil {
				return err
			}
		case e := <-d.streamEvents.Out():
			d.handleStreamEvent(&e)
		case request := <-d.operators.Out():
			d.handleRequest(&request)
		}
		if err := d.handleOutput(ctx); err != nil {
			return err
		}
	}
}

// applyUpdate applies committed entries in log order, and then passes the
// leadership state reported with them to the core.
func (d *controllerDuty) applyUpdate(ctx context.Context, update *logUpdate) error {
	if update.snapshot != nil {
		state, err := wire.DecodeState(update.snapshot.Data)
		if err != nil {
			return err
		}
		d.core.Restore(state)
		d.applied, d.compacted, d.uncompactedBytes = update.snapshot.Index, update.snapshot.Index, 0
	}
	for _, entry := range update.committed {
		if err := d.apply(&entry); err != nil {
			return err
		}
	}
	if update.leadership != nil {
		d.core.SetLeadership(d.clock.Now(), *update.leadership)
	}
	d.meter.SetLeadership(update.leadership)
	d.meter.SetState(d.applied, d.core.State())
	if update.reportRelease {
		_ = d.leaseReleased.Put(ctx, struct{}{})
	}
	return d.compactIfDue(ctx)
}

func (d *controllerDuty) apply(entry *consensus.Entry) error {
	d.applied = entry.Index
	d.uncompactedBytes += len(entry.Data)
	if entry.Kind != consensus.EntryCommand {
		return nil
	}
	command, err := wire.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	d.core.ApplyCommitted(d.clock.Now(), entry.Term, command)
	return nil
}

// compactIfDue asks for a snapshot after every snapshotInterval entries or snapshotBytes
// of them. If the ring is still full with an earlier request, the next update tries again.
func (d *controllerDuty) compactIfDue(ctx context.Context) error {
	if d.applied < d.compacted+d.snapshotInterval && d.uncompactedBytes < d.snapshotBytes {
		return nil
	}
	data, err := wire.EncodeState(d.core.State())
	if err != nil {
		return err
	}
	if d.compactions.Put(ctx, compaction{index: d.applied, data: data}) == nil {
		d.compacted, d.uncompactedBytes = d.applied, 0
	}
	return nil
}

// handleStreamEvent passes a renewal to the core, or detaches a closed stream.
func (d *controllerDuty) handleStreamEvent(e *streamEvent) {
	if e.closed {
		delete(d.streams, e.stream)
		d.core.Detach(e.stream)
		return
	}
	d.streams[e.stream] = *e
	d.core.HandleRenewal(d.clock.Now(), e.stream, &e.up)
}

// handleRequest answers reads from the current state. The reply to a change is
// sent by handleOutput once the core knows its outcome.
func (d *controllerDuty) handleRequest(request *operator.Request) {
	switch {
	case request.Change != nil:
		d.lastToken++
		d.pendingCommands[d.lastToken] = pendingCommand{request: *request, queued: time.Since(request.ReceivedAt)}
		propose := d.core.ProposeOperatorChange
		if request.CallerConfirmed {
			propose = d.core.ProposeConfirmedChange
		}
		propose(d.clock.Now(), d.lastToken, request.Change)
	case request.Explain != nil:
		reply := operator.Reply{}
		if !d.core.HoldsLeaderLease(d.clock.Now()) {
			reply.Redirect = true
		} else if explanation, ok := d.core.Explain(request.Explain.Service, request.Explain.Key); ok {
			reply.Explanation = &explanation
		}
		request.Reply.Send(reply)
	case request.Preset:
		request.Reply.Send(operator.Reply{
			Preset: d.core.State().View.Preset, Redirect: !d.core.HoldsLeaderLease(d.clock.Now()), Leader: d.core.LeaderAddress(),
		})
	default:
		status := d.core.Status(d.clock.Now())
		request.Reply.Send(operator.Reply{Status: &status})
	}
}

// handleOutput proposes commands, sends messages to routers, replies to
// operators and records events. A refused proposal is dropped; the core
// proposes again. One that cannot be encoded is dropped too, rather than to end
// a process for what others have sent.
func (d *controllerDuty) handleOutput(ctx context.Context) error {
	out := d.core.Take()
	for i := range out.Proposals {
		data, err := wire.EncodeCommand(&out.Proposals[i])
		if err != nil {
			d.events.Record(event.CommandMalformed, event.F("command", commandName(&out.Proposals[i])), event.F("cause", err))
			continue
		}
		_ = d.proposals.Put(ctx, data)
	}
	if err := d.send(ctx, out.Sends); err != nil {
		return err
	}
	for _, reply := range out.Replies {
		if pending, ok := d.pendingCommands[reply.Token]; ok {
			delete(d.pendingCommands, reply.Token)
			d.events.Record(event.CommandAnswered, pending.fields(&reply)...)
			pending.request.Reply.Send(operator.Reply{
				Redirect: reply.Redirect, Leader: reply.Leader, TooFewVoters: reply.TooFewVoters, ConfirmCaller: reply.ConfirmCaller, OutcomeUnknown: reply.OutcomeUnknown, Result: reply.Result,
			})
		}
	}
	for _, e := range out.Events {
		d.events.Record(e.Event, e.Fields...)
	}
	return nil
}

// commandName returns the ID of an operator's command, or how other commands are named.
func commandName(c *fsm.Command) string {
	if c.OperatorChange != nil {
		return c.OperatorChange.CommandID
	}
	return "of a router or of control itself"
}

// send queues messages on the rings of their streams. A change that goes to
// many streams is encoded once.
func (d *controllerDuty) send(ctx context.Context, sends []controller.StreamMessage) error {
	for _, send := range sends {
		e, ok := d.streams[send.Stream]
		if !ok {
			continue
		}
		change, err := d.changeCache.encode(send.Message.Change)
		if err != nil {
			return err
		}
		if e.down.Put(ctx, wire.FromDown(&send.Message, change)) != nil {
			// A later message must not overtake the refused one, so the stream
			// ends.
			e.cancel()
			delete(d.streams, send.Stream)
			d.core.Detach(send.Stream)
		}
	}
	return nil
}
