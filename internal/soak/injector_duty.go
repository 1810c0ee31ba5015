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
	exitTime         = time.Second            // longest time that a process takes to end after a failed write
	exitPollInterval = 200 * time.Millisecond // time between looks at a process that is to end
	pathDelay        = 40 * time.Millisecond  // added by a delayed path; far above that between regions
	openEnded        = time.Hour              // end of a fault that is not over; past every run
	commandCapacity  = 64                     // orders waiting for the operator
)

// injectorDuty carries out a plan. It owns the members and paths of the world.
type injectorDuty struct {
	fleet        *testFleet
	start        time.Time
	steps        []step
	commands     *ring.Ring[Command]
	observations *ring.Ring[*observation]
	// begun holds when faults began; told which start of a process was told to
	// end by one; changed the last fault of each path.
	begunAt         map[int]time.Time
	terminatedStart map[int]int
	lastFault       map[string]int
	done            ring.Reply[struct{}]
}

func newInjector(fleet *testFleet, start time.Time, commands *ring.Ring[Command], observations *ring.Ring[*observation]) *injectorDuty {
	d := &injectorDuty{
		fleet: fleet, start: start, commands: commands, observations: observations, begunAt: map[int]time.Time{}, terminatedStart: map[int]int{}, lastFault: map[string]int{}, done: ring.NewReply[struct{}](),
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

// Run takes each step when it is due.
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
		if recheck, err = d.freeDisk(s.fault, f); err != nil {
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

// lives reports whether the process that a fault told to end still runs.
func (d *injectorDuty) stillRuns(fault int, f *Fault) bool {
	p := d.fleet.processes[f.Target]
	return p.Alive() && p.Starts == d.terminatedStart[fault]
}

// mayYetEnd makes a full disk right again and reports whether the process may
// still end because of it.
func (d *injectorDuty) freeDisk(fault int, f *Fault) (bool, error) {
	if d.lastFault[f.Target] == fault {
		delete(d.lastFault, f.Target)
		if err := d.fleet.setFaults(f.Target, faultsOf("")); err != nil {
			return false, err
		}
	}
	return time.Since(d.begunAt[fault]) < f.For.Value()+exitTime && d.fleet.processes[f.Target].Alive(), nil
}

func (d *injectorDuty) report(ctx context.Context, fault int, ended time.Time, overdue bool) {
	i := &InjectedFault{Fault: d.fleet.plan.Faults[fault], Index: fault, Begun: d.begunAt[fault], Ended: ended, Overdue: overdue}
	_ = d.observations.Put(ctx, &observation{injected: i})
}

func (d *injectorDuty) begin(ctx context.Context, number int, f *Fault) error {
	if f.Kind.ofPath() {
		d.lastFault[f.Target] = number
		d.changePath(f)
		return nil
	}
	if f.Kind.ofClockOrDisk() {
		d.lastFault[f.Target] = number
		return d.fleet.setFaults(f.Target, faultsOf(f.Kind))
	}
	p := d.fleet.processes[f.Target]
	switch f.Kind {
	case Kill:
		p.Kill()
	case Terminate:
		d.terminatedStart[number] = p.Starts
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
		path.Silence()
	case Refuse:
		path.Set(relay.Condition{Refuse: true})
	case Partition:
		path.Set(relay.Condition{Towards: relay.Hold, Back: relay.Hold})
	case PartitionTowards:
		path.Set(relay.Condition{Towards: relay.Hold})
	case PartitionBack:
		path.Set(relay.Condition{Back: relay.Hold})
	}
}

// finish ends a fault. A path that a later fault has changed is left to it.
func (d *injectorDuty) finish(ctx context.Context, number int, f *Fault) error {
	if f.Kind.ofPath() {
		if d.lastFault[f.Target] == number {
			d.fleet.paths[f.Target].Set(relay.Condition{})
		}
		return nil
	}
	p := d.fleet.processes[f.Target]
	if f.Kind.ofClockOrDisk() && d.lastFault[f.Target] == number {
		if err := d.fleet.setFaults(f.Target, faultsOf("")); err != nil {
			return err
		}
	}
	switch f.Kind {
	case Kill, Wipe, FullDisk: // a process whose disk is full ends by itself
		return p.Start()
	case Terminate:
		if d.stillRuns(number, f) {
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
