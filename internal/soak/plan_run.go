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

// planRun is one run of a plan against a fleet whose processes have been started.
type planRun struct {
	fleet        *testFleet
	history      *History
	observations *ring.Ring[*observation]
	commands     *ring.Ring[Command]
	requests     *ring.Ring[request]
	// pending counts requests whose final answer is outstanding.
	pending *atomic.Int64
	// actors holds the duties that act on the fleet, observers the one that records
	// what they observe and stops after them.
	actors, observers *duty.Group

	workload *workloadDuty
	injector *injectorDuty
	checker  *checkerDuty
}

func newPlanRun(ctx context.Context, fleet *testFleet) *planRun {
	return &planRun{
		fleet: fleet, history: &History{Plan: fleet.plan, DataCentres: fleet.dataCentreOf},
		observations: ring.New[*observation]("seen", observationCapacity, ring.Wait),
		commands:     ring.New[Command]("orders", commandCapacity, ring.Wait),
		requests:     ring.New[request]("requests", requestCapacity, ring.Wait),
		pending:      &atomic.Int64{}, actors: duty.NewGroup(ctx), observers: duty.NewGroup(ctx),
	}
}

// run waits until the fleet serves, carries out the plan and checks the history.
func (r *planRun) run(ctx context.Context) (*Report, error) {
	defer r.actors.Stop()
	defer r.observers.Stop()
	r.actors.Go("operator", (&operatorDuty{client: r.fleet.newOperatorClient(), commands: r.commands, observations: r.observations}).Run)
	if err := r.fleet.awaitReady(r.actors.Context(), r.commands); err != nil {
		r.actors.Stop()
		return nil, cmp.Or(r.actors.Wait(), err)
	}
	r.startDuties()
	violations := r.awaitEnd()
	if violations == nil {
		r.awaitPending()
	}
	r.actors.Stop()
	if err := r.actors.Wait(); err != nil {
		return nil, err
	}
	r.observers.Stop()
	if err := r.observers.Wait(); err != nil {
		return nil, err
	}
	return r.buildReport(ctx, violations)
}

// startDuties starts the workload, the fault injector and the duties that observe
// the fleet.
func (r *planRun) startDuties() {
	r.history.Start = time.Now()
	r.checker = &checkerDuty{history: r.history, folder: r.fleet.folder, observations: r.observations, violations: ring.NewReply[[]Violation]()}
	r.observers.Go("historian", r.checker.Run)
	r.actors.Go("reader", (&presetReaderDuty{client: r.fleet.newOperatorClient(), observations: r.observations}).Run)
	client := newCallerClient()
	for range callerCount {
		caller := &callerDuty{
			requests: r.requests, observations: r.observations, client: client, routers: r.fleet.topology.routers, addresses: r.fleet.callerAddresses, pending: r.pending,
		}
		r.actors.Go("caller", caller.Run)
	}
	r.workload = &workloadDuty{plan: r.fleet.plan, routers: r.fleet.topology.routers, requests: r.requests, done: ring.NewReply[struct{}]()}
	r.injector = newInjector(r.fleet, r.history.Start, r.commands, r.observations)
	r.actors.Go("pacer", r.workload.Run)
	r.actors.Go("injector", r.injector.Run)
}

// awaitEnd waits until the workload and the injector are done, an invariant is
// violated or a duty fails. It returns the violations, if any.
func (r *planRun) awaitEnd() []Violation {
	for done := 0; done < 2; done++ {
		select {
		case <-r.actors.Context().Done():
			return nil
		case violations := <-r.checker.violations.Out():
			return violations
		case <-r.workload.done.Out():
		case <-r.injector.done.Out():
		}
	}
	return nil
}

// awaitPending waits for outstanding answers and acknowledgements, at most
// pendingTimeout.
func (r *planRun) awaitPending() {
	ctx, end := r.actors.Context(), time.Now().Add(pendingTimeout)
	for time.Now().Before(end) && ctx.Err() == nil && (r.pending.Load() > 0 || r.requests.Depth() > 0 || r.commands.Depth() > 0) {
		clock.Pause(ctx, ledgerWriteTime)
	}
	clock.Pause(ctx, readInterval+ledgerWriteTime) // for one more read of the preset and the last ledger lines
}

// buildReport checks the final history unless a violation ended the run. After an
// interruption the history is not complete.
func (r *planRun) buildReport(ctx context.Context, violations []Violation) (*Report, error) {
	if err := r.history.readLedgers(r.fleet.folder); err != nil {
		return nil, err
	}
	if violations == nil {
		r.history.Complete = ctx.Err() == nil
		violations = checkInvariants(r.history)
	}
	return newReport(r.history, r.fleet.folder, violations), nil
}
