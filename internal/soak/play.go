package soak

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/ring"
)

// play is one run of a plan against a started fleet.
type play struct {
	world    *world
	history  *History
	seen     *ring.Ring[*observation]
	orders   *ring.Ring[Order]
	requests *ring.Ring[request]
	// pending counts requests that have no last answer yet.
	pending *atomic.Int64
	// acting holds what acts on the fleet, collecting what watches it.
	acting, collecting *duty.Group

	pacer     *pacerDuty
	injector  *injectorDuty
	historian *historianDuty
}

func newPlay(ctx context.Context, w *world) *play {
	return &play{
		world: w, history: &History{Plan: w.plan, Centres: w.centreOf},
		seen:     ring.New[*observation]("seen", seenLength, ring.Wait),
		orders:   ring.New[Order]("orders", orderLength, ring.Wait),
		requests: ring.New[request]("requests", requestsHeld, ring.Wait),
		pending:  &atomic.Int64{}, acting: duty.NewGroup(ctx), collecting: duty.NewGroup(ctx),
	}
}

// run waits for the fleet, carries out the plan and checks what was seen.
func (p *play) run(ctx context.Context) (*Report, error) {
	defer p.acting.Stop()
	defer p.collecting.Stop()
	p.acting.Go("operator", (&operatorDuty{client: p.world.operator(), orders: p.orders, seen: p.seen}).Run)
	if err := p.world.ready(p.acting.Context(), p.orders); err != nil {
		p.acting.Stop()
		return nil, cmp.Or(p.acting.Wait(), err)
	}
	p.start()
	violations := p.wait()
	if violations == nil {
		p.settle()
	}
	p.acting.Stop()
	if err := p.acting.Wait(); err != nil {
		return nil, err
	}
	p.collecting.Stop()
	if err := p.collecting.Wait(); err != nil {
		return nil, err
	}
	return p.conclude(ctx, violations)
}

// start starts the duties that act on the fleet and watch it.
func (p *play) start() {
	p.history.Start = time.Now()
	p.historian = &historianDuty{history: p.history, folder: p.world.folder, seen: p.seen, broken: ring.NewReply[[]Violation]()}
	p.collecting.Go("historian", p.historian.Run)
	p.acting.Go("reader", (&readerDuty{client: p.world.operator(), seen: p.seen}).Run)
	client := newCallerClient()
	for range callerDuties {
		caller := &callerDuty{
			requests: p.requests, seen: p.seen, client: client, routers: p.world.roster.routers, addresses: p.world.callers, pending: p.pending,
		}
		p.acting.Go("caller", caller.Run)
	}
	p.pacer = &pacerDuty{plan: p.world.plan, routers: p.world.roster.routers, requests: p.requests, done: ring.NewReply[struct{}]()}
	p.injector = newInjector(p.world, p.history.Start, p.orders, p.seen)
	p.acting.Go("pacer", p.pacer.Run)
	p.acting.Go("injector", p.injector.Run)
}

// wait waits for the end of the plan, for a broken promise or for a duty that
// failed.
func (p *play) wait() []Violation {
	for done := 0; done < 2; done++ {
		select {
		case <-p.acting.Context().Done():
			return nil
		case violations := <-p.historian.broken.Out():
			return violations
		case <-p.pacer.done.Out():
		case <-p.injector.done.Out():
		}
	}
	return nil
}

// settle waits for the answers and acknowledgements that are still due.
func (p *play) settle() {
	ctx, end := p.acting.Context(), time.Now().Add(settleLimit)
	for time.Now().Before(end) && ctx.Err() == nil && (p.pending.Load() > 0 || p.requests.Depth() > 0 || p.orders.Depth() > 0) {
		clock.Pause(ctx, settlePause)
	}
	clock.Pause(ctx, readEvery+settlePause) // one more reading, and the ledgers
}

// conclude checks the whole history. After an interruption it is not complete.
func (p *play) conclude(ctx context.Context, violations []Violation) (*Report, error) {
	if err := p.history.readLedgers(p.world.folder); err != nil {
		return nil, err
	}
	if violations == nil {
		p.history.Complete = ctx.Err() == nil
		violations = check(p.history)
	}
	return newReport(p.history, p.world.folder, violations), nil
}
