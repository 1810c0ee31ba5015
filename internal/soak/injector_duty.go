package soak

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/relay"
	"endivespring/internal/ring"
)

const (
	exitTime         = time.Second            // longest time until a process exits after a failed write
	exitPollInterval = 200 * time.Millisecond // time between checks of a process that should exit
	pathDelay        = 40 * time.Millisecond  // latency added to a delayed path; far above the latency between regions
	openEnded        = time.Hour              // assumed length of an active fault; longer than any run
	commandCapacity  = 64                     // commands waiting for the operator
)

// injectorDuty injects the faults of a plan. While it runs it owns the processes and
// paths of the fleet.
type injectorDuty struct {
	fleet        *testFleet
	start        time.Time
	steps        []step
	commands     *ring.Ring[Command]
	observations *ring.Ring[*observation]
	// begunAt holds when each fault began, by its position in the plan.
	begunAt map[int]time.Time
	// terminatedStart holds which start of its process a Terminate fault ended.
	terminatedStart map[int]int
	// lastFault holds the latest fault of each path, and of the clock or disk of each
	// process, by target.
	lastFault map[string]int
	done      ring.Reply[struct{}]
}

func newInjector(fleet *testFleet, start time.Time, commands *ring.Ring[Command], observations *ring.Ring[*observation]) *injectorDuty {
	d := &injectorDuty{
		fleet: fleet, start: start, commands: commands, observations: observations, begunAt: map[int]time.Time{},
		terminatedStart: map[int]int{}, lastFault: map[string]int{}, done: ring.NewReply[struct{}](),
	}
	for i := range fleet.plan.Faults {
		f := &fleet.plan.Faults[i]
		d.steps = append(d.steps, step{at: f.At.Value(), fault: i, begin: true}, step{at: f.end().Value(), fault: i})
	}
	d.sort()
	return d
}

func (d *injectorDuty) sort() {
	slices.SortStableFunc(d.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}

// Run executes each step when it is due.
func (d *injectorDuty) Run(ctx context.Context) error {
	for len(d.steps) > 0 {
		next := d.steps[0]
		d.steps = d.steps[1:]
		clock.Pause(ctx, time.Until(d.start.Add(next.at)))
		if ctx.Err() != nil {
			return nil
		}
		if err := d.execute(ctx, next); err != nil {
			return err
		}
	}
	d.done.Send(struct{}{})
	return nil
}

// execute begins or ends a fault. It postpones the end while a process may still
// exit because of the fault.
func (d *injectorDuty) execute(ctx context.Context, s step) error {
	f := &d.fleet.plan.Faults[s.fault]
	if s.begin {
		d.begunAt[s.fault] = time.Now()
		d.report(ctx, s.fault, d.begunAt[s.fault].Add(openEnded), false)
		return d.begin(ctx, s.fault, f)
	}
	running := f.Kind == Terminate && d.stillRuns(s.fault, f)
	overdue := running && time.Since(d.begunAt[s.fault]) >= graceBound
	recheck := running && !overdue
	if f.Kind == FullDisk {
		var err error
		if recheck, err = d.clearDiskFault(s.fault, f); err != nil {
			return err
		}
	}
	if recheck {
		d.steps = append(d.steps, step{at: time.Since(d.start) + exitPollInterval, fault: s.fault})
		d.sort()
		return nil
	}
	if err := d.finish(ctx, s.fault, f); err != nil {
		return err
	}
	d.report(ctx, s.fault, time.Now(), overdue)
	return nil
}

// stillRuns reports whether the process that a fault terminated is running and has
// not been restarted since.
func (d *injectorDuty) stillRuns(index int, f *Fault) bool {
	p := d.fleet.processes[f.Target]
	return p.Running() && p.Starts == d.terminatedStart[index]
}

// clearDiskFault ends a full disk and reports whether the process may still exit
// because of a write that failed before.
func (d *injectorDuty) clearDiskFault(index int, f *Fault) (bool, error) {
	if d.lastFault[f.Target] == index {
		delete(d.lastFault, f.Target)
		if err := d.fleet.setFaults(f.Target, faultsOf("")); err != nil {
			return false, err
		}
	}
	return time.Since(d.begunAt[index]) < f.For.Value()+exitTime && d.fleet.processes[f.Target].Running(), nil
}

func (d *injectorDuty) report(ctx context.Context, index int, ended time.Time, overdue bool) {
	i := &InjectedFault{Fault: d.fleet.plan.Faults[index], Index: index, Begun: d.begunAt[index], Ended: ended, Overdue: overdue}
	_ = d.observations.Put(ctx, &observation{injected: i})
}

func (d *injectorDuty) begin(ctx context.Context, index int, f *Fault) error {
	if f.Kind.ofPath() {
		d.lastFault[f.Target] = index
		d.changePath(f)
		return nil
	}
	if f.Kind.ofClockOrDisk() {
		d.lastFault[f.Target] = index
		return d.fleet.setFaults(f.Target, faultsOf(f.Kind))
	}
	p := d.fleet.processes[f.Target]
	switch f.Kind {
	case Kill:
		p.Kill()
	case Terminate:
		d.terminatedStart[index] = p.Starts
		p.Signal(syscall.SIGTERM)
	case Freeze:
		p.Signal(syscall.SIGSTOP)
	case HangUp:
		p.Signal(syscall.SIGHUP)
	case Wipe:
		p.Kill()
		return d.fleet.wipeData(f.Target)
	case ChangePreset:
		return d.commands.Put(ctx, Command{Kind: ChangePreset, Target: f.Target})
	case TakeOutDataCentre:
		return d.commands.Put(ctx, Command{Kind: TakeOutDataCentre, Target: f.Target, Out: true})
	}
	return nil
}

func (d *injectorDuty) changePath(f *Fault) {
	path := d.fleet.paths[f.Target]
	switch f.Kind {
	case Delay:
		path.Set(relay.Condition{Delay: pathDelay})
	case Reset:
		path.Reset()
	case Blackhole:
		path.BlackholeOpen()
	case Refuse:
		path.Set(relay.Condition{Refuse: true})
	case Partition:
		path.Set(relay.Condition{ToTarget: relay.Hold, ToClient: relay.Hold})
	case PartitionTowards:
		path.Set(relay.Condition{ToTarget: relay.Hold})
	case PartitionBack:
		path.Set(relay.Condition{ToClient: relay.Hold})
	}
}

// finish ends a fault, unless a later fault has taken over its path or the fault
// file of its process.
func (d *injectorDuty) finish(ctx context.Context, index int, f *Fault) error {
	if f.Kind.ofPath() {
		if d.lastFault[f.Target] == index {
			d.fleet.paths[f.Target].Set(relay.Condition{})
		}
		return nil
	}
	p := d.fleet.processes[f.Target]
	if f.Kind.ofClockOrDisk() && d.lastFault[f.Target] == index {
		if err := d.fleet.setFaults(f.Target, faultsOf("")); err != nil {
			return err
		}
	}
	switch f.Kind {
	case Kill, Wipe, FullDisk: // a process with a full disk exits by itself
		return p.Start()
	case Terminate:
		if d.stillRuns(index, f) {
			p.Kill()
		}
		return p.Start()
	case Freeze:
		p.Signal(syscall.SIGCONT)
	case TakeOutDataCentre:
		return d.commands.Put(ctx, Command{Kind: TakeOutDataCentre, Target: f.Target})
	}
	return nil
}
