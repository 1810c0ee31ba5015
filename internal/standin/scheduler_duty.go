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

// schedulerDuty decides which jobs run: it refuses, starts and cancels them. It owns
// the behaviour, the newest epoch of each shard and the capacity, which grows from a
// cold start with the jobs completed.
type schedulerDuty struct {
	settings Settings
	arrivals *ring.Ring[*job]
	slots    *ring.Ring[*job]
	finished *ring.Ring[*job]
	cancels  *ring.Ring[string]
	changes  *ring.Ring[behaviourRequest]
	ledger   *ring.Ring[ledgerEntry]

	started            time.Time
	behaviour          Behaviour
	silencedAt         time.Time
	capacity           int
	warmingCompletions int
	peakInFlight       int
	arrivalCount       int
	answers            int
	lastAnswer         result
	lastRefusal        result
	running            map[string]*job
	inFlight           int
	newestEpoch        map[string]uint64
}

// Run handles jobs, cancellations and changes of behaviour until the context ends.
func (d *schedulerDuty) Run(ctx context.Context) error {
	d.started, d.behaviour, d.capacity = time.Now(), d.settings.Behaviour, d.settings.coldCapacity()
	d.running, d.newestEpoch = map[string]*job{}, map[string]uint64{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case j := <-d.arrivals.Out():
			d.admit(ctx, j)
		case j := <-d.finished.Out():
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

// admit starts a job or refuses it. A job beyond the capacity of a stand-in that is
// warming up gets a connection reset and is recorded as an overload.
func (d *schedulerDuty) admit(ctx context.Context, j *job) {
	d.arrivalCount++
	now := time.Now()
	switch {
	case j.connectedAt.Before(d.silencedAt):
		j.reply.Send(result{fault: FaultNoAnswer})
	case d.settings.ChecksGrants && d.fenced(j, now):
		d.recordAnswer(ctx, j, LedgerFenced, d.refusal(j, http.StatusPreconditionFailed))
	case d.behaviour.ShedEvery > 0 && d.arrivalCount%d.behaviour.ShedEvery == 0, now.After(j.deadline), d.inFlight >= d.settings.Slots:
		j.reply.Send(d.refusal(j, http.StatusServiceUnavailable))
	case d.inFlight >= d.capacity:
		d.recordAnswer(ctx, j, LedgerOverloaded, result{fault: FaultReset})
	default:
		d.start(ctx, j, now)
	}
}

// refusal returns the result of a job that does not run.
func (d *schedulerDuty) refusal(j *job, status int) result {
	d.lastRefusal = result{status: status, ran: upstream.RanNo, requestID: j.line.RequestID, run: j.run}
	return d.lastRefusal
}

// fenced reports whether the job's grant has expired or has an older epoch than the
// newest seen for its shard. Jobs without an epoch are not fenced.
func (d *schedulerDuty) fenced(j *job, now time.Time) bool {
	if j.line.Epoch == 0 {
		return false
	}
	if j.line.Epoch < d.newestEpoch[j.line.Shard] || !j.grantEnd.IsZero() && now.After(j.grantEnd) {
		return true
	}
	d.newestEpoch[j.line.Shard] = j.line.Epoch
	return false
}

func (d *schedulerDuty) start(ctx context.Context, j *job, now time.Time) {
	d.inFlight++
	d.peakInFlight = max(d.peakInFlight, d.inFlight)
	d.running[j.line.RequestID] = j
	d.record(ctx, j, LedgerStarted)
	j.runTime = d.behaviour.runTime(d.settings.Latency, now.Sub(d.started))
	_ = d.slots.Put(ctx, j)
}

// finish records a job that its slot has returned and answers it.
func (d *schedulerDuty) finish(ctx context.Context, j *job) {
	d.inFlight--
	if d.running[j.line.RequestID] == j {
		delete(d.running, j.line.RequestID)
	}
	if j.cancelled {
		d.recordAnswer(ctx, j, LedgerCancelled, j.result)
		return
	}
	line := d.line(j, LedgerFinished)
	d.warmUp()
	correct := j.result
	d.applyFault(j)
	d.lastAnswer = correct
	_ = d.ledger.Put(ctx, ledgerEntry{line: line, reply: &j.reply, answer: j.result})
}

// warmUp raises the capacity by one, up to Slots, after every WarmCompletions jobs
// completed without cancellation or time-out.
func (d *schedulerDuty) warmUp() {
	d.warmingCompletions++
	if d.warmingCompletions >= d.settings.WarmCompletions && d.capacity < d.settings.Slots {
		d.warmingCompletions = 0
		d.capacity++
	}
}

// applyFault applies the current fault to every FaultEvery-th answer.
func (d *schedulerDuty) applyFault(j *job) {
	d.answers++
	if d.behaviour.FaultEvery == 0 || d.answers%d.behaviour.FaultEvery != 0 {
		return
	}
	if d.behaviour.Fault == FaultMismatched {
		if d.lastAnswer.requestID != "" {
			j.result = d.lastAnswer
		}
		return
	}
	j.result.fault, j.result.delay = d.behaviour.Fault, milliseconds(d.behaviour.LateMs)
	if d.behaviour.Fault == FaultRepeatedRefusal && d.lastRefusal.requestID != "" {
		j.result.repeated = d.lastRefusal.text()
	}
}

// change applies a change of behaviour. It returns an error text, empty on success,
// and how long to suspend the scheduler.
func (d *schedulerDuty) change(body []byte) (problem string, freeze time.Duration) {
	change := BehaviourChange{Behaviour: d.behaviour}
	if err := json.Unmarshal(body, &change); err != nil {
		return err.Error(), 0
	}
	if !change.Fault.known() {
		return "unknown fault " + string(change.Fault), 0
	}
	d.behaviour = change.Behaviour
	if change.Cold {
		d.capacity, d.warmingCompletions = d.settings.coldCapacity(), 0
	}
	if change.SilenceOpen {
		d.silencedAt = time.Now()
	}
	return "", milliseconds(change.FreezeMs)
}

// record adds an event to the ledger.
func (d *schedulerDuty) record(ctx context.Context, j *job, event LedgerEvent) {
	_ = d.ledger.Put(ctx, ledgerEntry{line: d.line(j, event)})
}

// recordAnswer adds an event to the ledger and answers the job once it is written.
func (d *schedulerDuty) recordAnswer(ctx context.Context, j *job, event LedgerEvent, answer result) {
	_ = d.ledger.Put(ctx, ledgerEntry{line: d.line(j, event), reply: &j.reply, answer: answer})
}

// line returns the line of an event that happens now.
func (d *schedulerDuty) line(j *job, event LedgerEvent) LedgerLine {
	line := j.line
	line.Event, line.Upstream, line.UnixNanos = event, d.settings.Name, time.Now().UnixNano()
	line.InFlight, line.PeakInFlight, line.Capacity = d.inFlight, d.peakInFlight, d.capacity
	return line
}
