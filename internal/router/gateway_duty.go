package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

// gatewayDuty owns the gateway core, the callers' requests in flight and the links
// to the executors of other routers.
type gatewayDuty struct {
	self     fleet.RouterID
	fleet    string
	core     *gateway.Core
	clock    clock.Clock
	events   event.Recorder
	group    *duty.Group
	requests *ring.Ring[*caller.Request]
	answers  *ring.Ring[*inboundAnswer]
	updates  *ring.Ring[session.Update]
	executor *ring.Ring[*submission]
	// questions are operators' questions where a request would go.
	questions *ring.Ring[*whereQuestion]
	stop      *ring.Ring[stopStep]
	// drained is signalled while stopping, once no request is in flight.
	drained *ring.Ring[struct{}]
	// nestedCalls and waits tell the executor duty about nested requests. They drop the oldest.
	nestedCalls *ring.Ring[call.NestedCall]
	waits       *ring.Ring[call.ServiceWait]

	registry *metrics.Registry
	meter    *metrics.SessionMeter
	// loadMeter is nil unless load reports are used.
	loadMeter *metrics.LoadMeter
	// readiness is updated when the view gains or loses its preset.
	readiness *readiness
	// hasPreset is signalled once the router is ready.
	hasPreset *ring.Ring[struct{}]

	// delegations are calls that the executor of this router delegates to other
	// executors. delegatedRuns maps their tokens to the executor's run IDs.
	delegations   *ring.Ring[executor.Delegation]
	delegatedRuns map[uint64]uint64

	lastToken uint64
	client    *caller.GatewayClient
	pending   map[uint64]*caller.Request
	tokens    map[uint64]uint64 // tokens by the caller server's numbers
	links     map[fleet.RouterID]*link
	// earlierLinks are links that get no more calls and have not ended. Calls on them may be in
	// flight.
	earlierLinks []*link
	// openLinks is the number of links that have not ended.
	openLinks atomic.Int64
	// stopping is set from stopFinish on.
	stopping bool
	// endsAt is when a stopping router answers the requests that are still open.
	endsAt       clock.Instant
	stopSchedule stopSchedule
}

// Run drives the core until the context ends.
func (d *gatewayDuty) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.core.Tick(d.clock.Now())
		case request := <-d.requests.Out():
			d.start(request)
		case delegation := <-d.delegations.Out():
			d.delegate(&delegation)
		case answer := <-d.answers.Out():
			d.handleAnswer(answer)
		case update := <-d.updates.Out():
			d.update(&update)
		case step := <-d.stop.Out():
			d.advanceStop(step)
		case q := <-d.questions.Out():
			q.reply.Send(d.core.ExplainWhere(d.clock.Now(), &q.question))
			continue // nothing has changed
		}
		d.core.ReportWaits(d.clock.Now())
		d.dispatch(ctx)
		if d.stopping && d.core.Len() == 0 && d.requests.Depth() == 0 {
			_ = d.drained.Put(ctx, struct{}{})
		}
		timer.Reset(d.sleep())
	}
}

// advanceStop performs a step of the shutdown.
func (d *gatewayDuty) advanceStop(step stopStep) {
	d.events.Record(event.StopProgressed, event.F("duty", "gateway"), event.F("step", step.String()),
		event.F("requests", d.core.Len()), event.F("waiting", d.core.Waiting()))
	now := d.clock.Now()
	switch step {
	case stopBegin:
		d.endsAt = now.Add(d.stopSchedule.requests)
	case stopFinish:
		d.stopping = true
		d.core.StopBy(d.endsAt)
	case stopWaiting:
		d.core.RefuseWaiting(now)
	case stopRequests:
		d.core.EndRequests(now)
	}
}

func (d *gatewayDuty) update(update *session.Update) {
	d.core.SetViewLease(update.ViewUntil)
	if update.Change != nil {
		d.setView(update)
	}
	d.updateReadiness(update)
}

// setView applies a change of the view and logs a newer configuration.
func (d *gatewayDuty) setView(update *session.Update) {
	now := d.clock.Now()
	view := d.core.View()
	config := view.Config
	if !d.core.SetView(now, update.Change) {
		recordSkippedView(d.events, view.Version, update.Change)
		return
	}
	d.applyPreset(view.Preset)
	if view.Config == config {
		return
	}
	d.meter.SetConfig(view.Config)
	var number uint64
	routes := 0
	if view.Preset != nil {
		number, routes = view.Preset.Number, len(view.Preset.Routes)
	}
	d.events.Record(event.ConfigApplied, event.F("config", uint64(view.Config)), event.F("number", number), event.F("view", uint64(view.Version)),
		event.F("routes", routes), event.F("waited", now.Sub(update.ReceivedAt)))
}

// recordSkippedView logs a change that does not follow the version in use.
func recordSkippedView(events event.Recorder, version fleet.Version, change *fleet.Change) {
	events.Record(event.ViewSkipped, event.F("view", uint64(version)), event.F("from", uint64(change.From)), event.F("to", uint64(change.To)))
}

// applyPreset updates the limits on callers' requests. preset is nil if the view has none.
func (d *gatewayDuty) applyPreset(preset *fleet.Preset) {
	if preset != nil {
		d.client.SetLimits(preset.Limits)
	}
}

// updateReadiness makes the router ready once its view has a preset and control has granted
// a lease of the view: until then it may be an old one, and requests are refused.
func (d *gatewayDuty) updateReadiness(update *session.Update) {
	if d.core.View().Preset == nil {
		d.readiness.hasPreset.Store(false)
		return
	}
	if update.ViewUntil != 0 && !d.readiness.hasPreset.Load() {
		d.readiness.hasPreset.Store(true)
		_ = d.hasPreset.Put(context.Background(), struct{}{})
	}
}

func (d *gatewayDuty) sleep() time.Duration {
	deadline := d.core.Deadline()
	if deadline == clock.Never {
		return time.Hour
	}
	return max(0, deadline.Sub(d.clock.Now()))
}

func (d *gatewayDuty) start(request *caller.Request) {
	if request.Abandoned {
		d.core.Abandon(d.clock.Now(), d.tokens[request.Number])
		return
	}
	d.lastToken++
	request.Request.Token = d.lastToken
	d.pending[d.lastToken] = request
	d.tokens[request.Number] = d.lastToken
	d.core.Start(d.clock.Now(), request.Request)
}

// delegate starts a call for the executor of this router, which keeps the call's
// deduplication record. The call is dispatched to another router.
func (d *gatewayDuty) delegate(delegation *executor.Delegation) {
	d.lastToken++
	d.delegatedRuns[d.lastToken] = delegation.Run
	now := d.clock.Now()
	c := &delegation.Call
	d.core.Start(now, gateway.Request{
		Token: d.lastToken, ID: c.RequestID, Service: c.Service, Operation: c.Operation, Key: c.Key, Body: c.Body,
		Timeout: max(1, c.Deadline.Sub(now)), Delegated: true, Exclude: d.self,
	})
}

func (d *gatewayDuty) handleAnswer(in *inboundAnswer) {
	now := d.clock.Now()
	switch {
	case in.ended != nil:
		d.handleLinkEnd(now, in)
	case in.retired != nil:
		d.replaceLink(in.retired)
	case in.load != nil:
		d.core.HandleReport(now, in.from, *in.load)
		d.loadMeter.CountReceived()
	case in.lost:
		d.core.HandleLostCall(now, in.answer.Number, in.verdict)
	default:
		d.core.HandleAnswer(now, in.from, in.answer)
	}
}

// handleLinkEnd settles the calls of a link that has ended. The outcome of those that
// were written and not answered is unknown. Calls on other links to the same router, earlier
// or later ones, are left alone.
func (d *gatewayDuty) handleLinkEnd(now clock.Instant, in *inboundAnswer) {
	d.openLinks.Add(-1)
	d.replaceLink(in.ended)
	d.earlierLinks = slices.DeleteFunc(d.earlierLinks, func(l *link) bool { return l == in.ended })
	d.emptyLink(now, in.ended)
	d.core.HandleLostLink(now, in.from, in.ended.firstNumber, in.ended.lastNumber)
	d.events.Record(event.PeerLost, event.F("router", string(in.from)))
}

// replaceLink sends no more calls on a link: the next call to its router opens another.
func (d *gatewayDuty) replaceLink(l *link) {
	if d.links[l.router] == l {
		delete(d.links, l.router)
		d.earlierLinks = append(d.earlierLinks, l)
	}
}

// emptyLink settles the calls that are queued on a link that has ended. They were never
// written and did not run.
func (d *gatewayDuty) emptyLink(now clock.Instant, l *link) {
	for out, ok := l.calls.Poll(); ok; out, ok = l.calls.Poll() {
		if out.isCall() {
			d.core.HandleLostCall(now, out.call.Number, verdict.NotRun)
		}
	}
}

// dispatch executes the output of the core until it asks for no more sends, since a
// failed send causes further output.
func (d *gatewayDuty) dispatch(ctx context.Context) {
	for {
		out := d.core.Take()
		d.loadMeter.CountDecisions(out.Refused, out.Overflow)
		for _, reply := range out.Replies {
			d.answer(ctx, reply)
		}
		for _, cancel := range out.Cancels {
			d.cancel(ctx, cancel)
		}
		for _, withdrawal := range out.Withdrawals {
			d.withdraw(ctx, withdrawal)
		}
		for _, send := range out.Sends {
			d.send(ctx, send)
		}
		for _, e := range out.Events {
			d.events.Record(e.Event, e.Fields...)
		}
		for _, nested := range out.NestedCalls {
			_ = d.nestedCalls.Put(ctx, nested)
		}
		for _, wait := range out.Waits {
			_ = d.waits.Put(ctx, wait)
		}
		if len(out.Sends) == 0 {
			return
		}
	}
}

// answer answers the caller, or the executor of this router for a delegated call.
// If the executor's ring is full, the answer is dropped; the executor treats the
// outcome as unknown after a grace period.
func (d *gatewayDuty) answer(ctx context.Context, reply gateway.Reply) {
	if run, ok := d.delegatedRuns[reply.Token]; ok {
		delete(d.delegatedRuns, reply.Token)
		_ = d.executor.Put(ctx, &submission{outcome: &executor.Outcome{Run: run, Answer: reply.Answer}})
		return
	}
	if request, ok := d.pending[reply.Token]; ok {
		delete(d.pending, reply.Token)
		delete(d.tokens, request.Number)
		request.Reply.Send(reply.Answer)
	}
}

// send passes a call on, unless the caller of its request has gone. The duty looks itself,
// right before: if the process was held up, the connection may have been closed for long.
func (d *gatewayDuty) send(ctx context.Context, send gateway.Send) {
	request := d.pending[send.Token]
	if request != nil && request.Disconnected() {
		d.core.CallerGone(d.clock.Now(), send.Call.Number)
		return
	}
	var err error
	if send.Router.ID == d.self {
		err = d.executor.Put(ctx, &submission{link: localLink, call: send.Call})
	} else {
		l := d.link(send.Router)
		l.countCall(send.Call.Number)
		err = l.calls.Put(ctx, &outgoingCall{call: send.Call, request: request, queuedAt: d.clock.Now()})
	}
	if err != nil {
		d.core.HandleLostCall(d.clock.Now(), send.Call.Number, verdict.NotRun)
	}
}

func (d *gatewayDuty) cancel(ctx context.Context, cancel gateway.Cancel) {
	if cancel.Router == d.self {
		_ = d.executor.Put(ctx, &submission{link: localLink, cancel: cancel.Number})
		return
	}
	if l := d.linkOf(cancel); l != nil {
		_ = l.calls.Put(ctx, &outgoingCall{call: call.Call{Number: cancel.Number}, cancel: true})
	}
}

// withdraw passes on a withdrawal. The executor of this router is stopping itself.
func (d *gatewayDuty) withdraw(ctx context.Context, withdrawal gateway.Cancel) {
	if l := d.linkOf(withdrawal); l != nil {
		_ = l.calls.Put(ctx, &outgoingCall{call: call.Call{Number: withdrawal.Number}, withdraw: true})
	}
}

// linkOf returns the link on which a call was queued, or nil if it has ended or there was none.
func (d *gatewayDuty) linkOf(cancel gateway.Cancel) *link {
	if l := d.links[cancel.Router]; l != nil && l.carries(cancel.Number) {
		return l
	}
	for _, l := range d.earlierLinks {
		if l.router == cancel.Router && l.carries(cancel.Number) {
			return l
		}
	}
	return nil
}

// link returns the link to the executor of a router. It opens a new one if there is
// none or if the router's address has changed.
func (d *gatewayDuty) link(router fleet.Router) *link {
	l := d.links[router.ID]
	if l != nil && l.address == router.Address {
		return l
	}
	if l != nil {
		d.replaceLink(l)
	}
	d.openLinks.Add(1)
	l = newLink(d.fleet, router, &d.openLinks, d.clock, d.answers, d.events)
	l.takesReports = d.loadMeter != nil
	d.links[router.ID] = l
	d.registry.RegisterRings(l.calls)
	d.group.Go("link-"+string(router.ID), l.Run)
	return l
}
