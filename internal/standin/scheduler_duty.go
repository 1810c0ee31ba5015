package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/ring"
	"endivespring/internal/upstream"
)

// schedulerDuty owns what runs: it refuses, starts and cancels jobs, keeps the
// newest epoch of each shard and warms up.
type schedulerDuty struct {
	settings Settings
	arrivals *ring.Ring[*job]
	slots    *ring.Ring[*job]
	done     *ring.Ring[*job]
	cancels  *ring.Ring[string]
	changes  *ring.Ring[changeRequest]
	ledger   *ring.Ring[LedgerLine]

	started   time.Time
	behaviour Behaviour
	silent    time.Time
	bears     int
	good      int
	peak      int
	arrived   int
	answered  int
	last      result
	running   map[string]*job
	count     int
	newest    map[string]uint64
}

// Run takes jobs until the context ends.
func (d *schedulerDuty) Run(ctx context.Context) error {
	d.started, d.behaviour, d.bears = time.Now(), d.settings.Behaviour, d.settings.bearsCold()
	d.running, d.newest = map[string]*job{}, map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-d.arrivals.Out():
			d.arrive(ctx, j)
		case j := <-d.done.Out():
			d.finish(ctx, j)
		case id := <-d.cancels.Out():
			if j := d.running[id]; j != nil {
				j.cancel.Send(struct{}{})
			}
		case change := <-d.changes.Out():
			problem, freeze := d.change(change.body)
			change.reply.Send(problem)
			clock.Pause(ctx, freeze)
		}
	}
}

// arrive starts a job or refuses it.
func (d *schedulerDuty) arrive(ctx context.Context, j *job) {
	d.arrived++
	now := time.Now()
	switch {
	case j.opened.Before(d.silent):
		j.reply.Send(result{fault: FaultSilent})
	case d.settings.ChecksGrants && d.fenced(j, now):
		d.record(ctx, j, LedgerFenced)
		d.refuse(j, http.StatusPreconditionFailed)
	case d.behaviour.ShedEvery > 0 && d.arrived%d.behaviour.ShedEvery == 0, now.After(j.deadline), d.count >= d.settings.Slots:
		d.refuse(j, http.StatusServiceUnavailable)
	case d.count >= d.bears:
		d.record(ctx, j, LedgerOverloaded)
		j.reply.Send(result{fault: FaultReset})
	default:
		d.start(ctx, j, now)
	}
}

func (d *schedulerDuty) refuse(j *job, status int) {
	j.reply.Send(result{status: status, ran: upstream.RanNo, requestID: j.line.RequestID})
}

// fenced reports whether the job's grant is older than one seen or expired.
func (d *schedulerDuty) fenced(j *job, now time.Time) bool {
	if j.line.Epoch == 0 {
		return false
	}
	if j.line.Epoch < d.newest[j.line.Shard] || !j.grantEnd.IsZero() && now.After(j.grantEnd) {
		return true
	}
	d.newest[j.line.Shard] = j.line.Epoch
	return false
}

func (d *schedulerDuty) start(ctx context.Context, j *job, now time.Time) {
	d.count++
	d.peak = max(d.peak, d.count)
	d.running[j.line.RequestID] = j
	d.record(ctx, j, LedgerStarted)
	j.plan = d.behaviour.runTime(d.settings.Latency, now.Sub(d.started))
	_ = d.slots.Put(ctx, j)
}

// finish takes a job back from its slot and answers it.
func (d *schedulerDuty) finish(ctx context.Context, j *job) {
	d.count--
	if d.running[j.line.RequestID] == j {
		delete(d.running, j.line.RequestID)
	}
	if j.cancelled {
		d.record(ctx, j, LedgerCancelled)
		j.reply.Send(j.result)
		return
	}
	d.record(ctx, j, LedgerFinished)
	d.warm()
	good := j.result
	d.spoil(j)
	d.last = good
	j.reply.Send(j.result)
}

// warm lets the stand-in bear one more request at once after enough good
// completions.
func (d *schedulerDuty) warm() {
	d.good++
	if d.good >= d.settings.WarmCompletions && d.bears < d.settings.Slots {
		d.good = 0
		d.bears++
	}
}

// spoil applies the fault in force to every n-th answer.
func (d *schedulerDuty) spoil(j *job) {
	d.answered++
	if d.behaviour.FaultEvery == 0 || d.answered%d.behaviour.FaultEvery != 0 {
		return
	}
	if d.behaviour.Fault == FaultCrossed {
		if d.last.requestID != "" {
			j.result = d.last
		}
		return
	}
	j.result.fault = d.behaviour.Fault
	j.result.delay = milliseconds(d.behaviour.LateMs)
}

// change applies a change of behaviour and returns the problem with it, if
// any, and how long to stop all work.
func (d *schedulerDuty) change(body []byte) (problem string, freeze time.Duration) {
	change := Change{Behaviour: d.behaviour}
	if err := json.Unmarshal(body, &change); err != nil {
		return err.Error(), 0
	}
	if !change.Fault.known() {
		return "unknown fault " + string(change.Fault), 0
	}
	d.behaviour = change.Behaviour
	if change.Cold {
		d.bears, d.good = d.settings.bearsCold(), 0
	}
	if change.SilenceOpen {
		d.silent = time.Now()
	}
	return "", milliseconds(change.FreezeMs)
}

func (d *schedulerDuty) record(ctx context.Context, j *job, event LedgerEvent) {
	line := j.line
	line.Event, line.Upstream, line.At = event, d.settings.Name, time.Now().UnixNano()
	line.Running, line.Peak, line.Bears = d.count, d.peak, d.bears
	_ = d.ledger.Put(ctx, line)
}
