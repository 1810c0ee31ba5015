// Package soak runs a fleet of real processes, injects faults from outside of
// them and checks from what callers, operators and upstreams see that no
// promise of the product is broken.
package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/duty"
	"endivespring/internal/ring"
)

const (
	readyLimit   = 30 * time.Second       // longest time from the start of the processes to the first request
	settleLimit  = 30 * time.Second       // longest time for the last answers and orders; above grace and deadlines
	settlePause  = 300 * time.Millisecond // for ledgers to be written
	seenLength   = 4096                   // observations waiting for the historian
	requestsHeld = 16                     // requests waiting for a caller
)

// Play carries out a plan with processes of a binary in an empty folder. It
// returns an error if the run itself failed; broken promises are in the report.
func Play(ctx context.Context, plan *Plan, folder, binary string) (*Report, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, eris.Wrap(err, "folder")
	}
	w, err := newWorld(ctx, plan, folder, binary)
	if err == nil {
		err = w.start()
	}
	var report *Report
	if err == nil {
		report, err = observe(ctx, w)
	}
	if w != nil {
		if stopped := w.stop(); err == nil {
			err = stopped
		}
	}
	if err != nil {
		return nil, err
	}
	return report, report.write(plan)
}

// observe runs callers, operators and the injector against a started fleet.
func observe(ctx context.Context, w *world) (*Report, error) {
	seen := ring.New[*observation]("seen", seenLength, ring.Wait)
	orders := ring.New[Order]("orders", orderLength, ring.Wait)
	requests := ring.New[request]("requests", requestsHeld, ring.Wait)
	group := duty.NewGroup(ctx)
	defer group.Stop()
	group.Go("operator", (&operatorDuty{client: w.operator(), orders: orders, seen: seen}).Run)
	if err := w.ready(group.Context(), orders); err != nil {
		group.Stop()
		return nil, cmp.Or(group.Wait(), err)
	}
	history := &History{Plan: w.plan, Start: time.Now(), Centres: w.centreOf}
	historian := &historianDuty{history: history, folder: w.folder, seen: seen, broken: ring.NewReply[[]Violation]()}
	collecting := duty.NewGroup(ctx)
	collecting.Go("historian", historian.Run)
	group.Go("reader", (&readerDuty{client: w.operator(), seen: seen}).Run)
	pending, client := &atomic.Int64{}, newCallerClient()
	for range callerDuties {
		group.Go("caller", (&callerDuty{requests: requests, seen: seen, client: client, routers: w.roster.routers, addresses: w.callers, pending: pending}).Run)
	}
	pacer := &pacerDuty{plan: w.plan, routers: w.roster.routers, requests: requests, done: ring.NewReply[struct{}]()}
	injector := newInjector(w, history.Start, orders, seen)
	group.Go("pacer", pacer.Run)
	group.Go("injector", injector.Run)
	violations := wait(ctx, pacer, injector, historian)
	if violations == nil {
		settle(ctx, pending, requests, orders)
	}
	group.Stop()
	if err := group.Wait(); err != nil {
		return nil, err
	}
	collecting.Stop()
	if err := collecting.Wait(); err != nil {
		return nil, err
	}
	return conclude(ctx, history, w.folder, violations)
}

// wait waits for the end of the plan or for a broken promise.
func wait(ctx context.Context, p *pacerDuty, i *injectorDuty, h *historianDuty) []Violation {
	for done := 0; done < 2; done++ {
		select {
		case <-ctx.Done():
			return nil
		case violations := <-h.broken.Out():
			return violations
		case <-p.done.Out():
		case <-i.done.Out():
		}
	}
	return nil
}

// settle waits for the answers and acknowledgements that are still due.
func settle(ctx context.Context, pending *atomic.Int64, requests *ring.Ring[request], orders *ring.Ring[Order]) {
	end := time.Now().Add(settleLimit)
	for time.Now().Before(end) && ctx.Err() == nil && (pending.Load() > 0 || requests.Depth() > 0 || orders.Depth() > 0) {
		clock.Pause(ctx, settlePause)
	}
	clock.Pause(ctx, readEvery+settlePause) // one more reading, and the ledgers
}

// conclude checks the whole history. After an interruption it is not complete.
func conclude(ctx context.Context, h *History, folder string, violations []Violation) (*Report, error) {
	if err := h.readLedgers(folder); err != nil {
		return nil, err
	}
	if violations == nil {
		h.Complete = ctx.Err() == nil
		violations = check(h)
	}
	return newReport(h, folder, violations), nil
}

// write puts the plan, the report and the plot beside the logs of the run.
func (r *Report) write(plan *Plan) error {
	for name, value := range map[string]any{"plan.json": plan, "report.json": r} {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		if err := os.WriteFile(filepath.Join(r.Folder, name), data, logMode); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	return r.plot(filepath.Join(r.Folder, "plot.svg"))
}
