package router

import (
	"context"
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

// gatewayDuty owns the attempt core, the callers' requests under way and the
// links to other doors.
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

	registry *metrics.Registry
	// readiness is told once there is a preset.
	readiness *readiness

	// delegations are calls of the door beside this entry that other doors are
	// to run; delegated holds their runs by token.
	delegations *ring.Ring[executor.Delegation]
	delegated   map[uint64]uint64

	token   uint64
	gate    *caller.Gate
	waiting map[uint64]*caller.Request
	callers map[uint64]uint64 // tokens by the caller server's numbers
	links   map[fleet.RouterID]*link
}

// Run steps the core until the context ends.
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
			d.answered(answer)
		case update := <-d.updates.Out():
			d.core.SetViewLease(update.ViewUntil)
			if update.Change != nil {
				d.core.SetView(d.clock.Now(), update.Change)
				d.inform(d.core.View().Preset)
			}
		}
		d.dispatch(ctx)
		timer.Reset(d.sleep())
	}
}

// inform tells the front end of a preset, nil if there is none.
func (d *gatewayDuty) inform(preset *fleet.Preset) {
	d.readiness.informed.Store(preset != nil)
	if preset != nil {
		d.gate.SetLimits(preset.Limits)
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
		d.core.Abandon(d.clock.Now(), d.callers[request.Number])
		return
	}
	d.token++
	request.Request.Token = d.token
	d.waiting[d.token] = request
	d.callers[request.Number] = d.token
	d.core.Start(d.clock.Now(), request.Request)
}

// delegate starts a call that the door beside this entry keeps the record of.
func (d *gatewayDuty) delegate(delegation *executor.Delegation) {
	d.token++
	d.delegated[d.token] = delegation.Run
	now := d.clock.Now()
	c := &delegation.Call
	d.core.Start(now, gateway.Request{
		Token: d.token, ID: c.RequestID, Service: c.Service, Operation: c.Operation, Key: c.Key, Body: c.Body,
		Timeout: max(1, c.Deadline.Sub(now)), Delegated: true, Exclude: d.self,
	})
}

func (d *gatewayDuty) answered(in *inboundAnswer) {
	now := d.clock.Now()
	switch {
	case in.ended != nil:
		d.ended(now, in)
	case in.lost:
		d.core.Lost(now, in.answer.Number, in.verdict)
	default:
		d.core.Answered(now, in.from, in.answer)
	}
}

// ended takes the end of a link. Calls that were put on its ring after it had
// stopped sending were never written; the outcome of the others is unknown.
func (d *gatewayDuty) ended(now clock.Instant, in *inboundAnswer) {
	if d.links[in.from] == in.ended {
		delete(d.links, in.from)
	}
	for in.ended.calls.Depth() > 0 {
		if out := <-in.ended.calls.Out(); !out.cancel {
			d.core.Lost(now, out.call.Number, verdict.NotRun)
		}
	}
	d.core.LostRouter(now, in.from)
	d.events.Record(event.PeerLost, event.F("router", string(in.from)))
}

// dispatch carries out what the core asks for until it asks for nothing more.
func (d *gatewayDuty) dispatch(ctx context.Context) {
	for {
		out := d.core.Take()
		for _, finish := range out.Finishes {
			d.finish(ctx, finish)
		}
		for _, cancel := range out.Cancels {
			d.cancel(ctx, cancel)
		}
		for _, send := range out.Sends {
			d.send(ctx, send)
		}
		for _, decision := range out.Decisions {
			d.events.Record(decision.Event, decision.Fields...)
		}
		if len(out.Sends) == 0 {
			return
		}
	}
}

// finish answers the caller, or the door beside this entry. If the door's ring
// is full, the door takes the outcome as unknown after a grace.
func (d *gatewayDuty) finish(ctx context.Context, finish gateway.Finish) {
	if run, ok := d.delegated[finish.Token]; ok {
		delete(d.delegated, finish.Token)
		_ = d.executor.Put(ctx, &submission{outcome: &executor.Outcome{Run: run, Answer: finish.Answer}})
		return
	}
	if request, ok := d.waiting[finish.Token]; ok {
		delete(d.waiting, finish.Token)
		delete(d.callers, request.Number)
		request.Reply.Send(finish.Answer)
	}
}

func (d *gatewayDuty) send(ctx context.Context, send gateway.Send) {
	var err error
	if send.Router.ID == d.self {
		err = d.executor.Put(ctx, &submission{link: localLink, call: send.Call})
	} else {
		err = d.link(send.Router).calls.Put(ctx, &outgoing{call: send.Call})
	}
	if err != nil {
		d.core.Lost(d.clock.Now(), send.Call.Number, verdict.NotRun)
	}
}

func (d *gatewayDuty) cancel(ctx context.Context, cancel gateway.Cancel) {
	if cancel.Router == d.self {
		_ = d.executor.Put(ctx, &submission{link: localLink, cancel: cancel.Number})
		return
	}
	if l := d.links[cancel.Router]; l != nil {
		_ = l.calls.Put(ctx, &outgoing{call: call.Call{Number: cancel.Number}, cancel: true})
	}
}

// link returns the link to a router's door, opening one if there is none.
func (d *gatewayDuty) link(router fleet.Router) *link {
	l := d.links[router.ID]
	if l != nil && l.address == router.Address {
		return l
	}
	l = newLink(d.fleet, router, d.clock, d.answers, d.events)
	d.links[router.ID] = l
	d.registry.Rings(l.calls)
	d.group.Go("link-"+string(router.ID), l.Run)
	return l
}
