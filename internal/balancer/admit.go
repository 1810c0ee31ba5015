package balancer

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// minRoomShare is the inverse of the share of the executors that may have room below which
// a call is sent to one of these. Two random ones would usually both be full.
const minRoomShare = 4

// Admit returns whether a call of a service that any executor may run can start in time.
// It looks at the executors that Choose chooses from, usually at a quarter of them. One
// without a recent report may have room: an idle executor reports once a second and only
// to gateways that call it, so most are unknown to a gateway with few calls.
func (t *Table) Admit(service string, now clock.Instant, limit StartLimit, exclude []fleet.RouterID) Admission {
	p := t.pools[service]
	if p == nil {
		return Admission{}
	}
	t.comparedCount, t.overflowed = 0, false
	local, remote := p.subset()
	total := len(local) + len(remote)
	var result Admission
	var withRoom [maxExecutors]*executor
	var unknown *executor
	rooms, unknowns := 0, 0
	for i := range total {
		e := at(local, remote, i)
		if e.failing(now) || slices.Contains(exclude, e.router.ID) {
			continue
		}
		result.Executors++
		wait, age, known := e.admissionWait(now, p)
		if result.Executors == 1 || wait < result.Wait {
			result.Wait, result.Age = wait, age
		}
		switch {
		case now.Add(wait) > limit.By || known && e.queueFull(age, limit.Queue):
			continue
		case !known:
			unknowns++
			if unknown == nil || e.inFlight < unknown.inFlight {
				unknown = e
			}
		default:
			withRoom[rooms] = e
			rooms++
		}
		if (rooms+unknowns)*minRoomShare > total {
			return Admission{}
		}
	}
	switch {
	case result.Executors == 0:
	case rooms > 0:
		t.force(&result, t.betterOfTwo(now, p, withRoom[:rooms]))
	case unknown != nil:
		t.force(&result, unknown)
	default:
		t.refuse(&result, p.nextProbe(now, local, remote, exclude))
	}
	return result
}

// betterOfTwo returns the one of two random executors with the smaller estimate.
func (t *Table) betterOfTwo(now clock.Instant, p *pool, executors []*executor) *executor {
	first := t.randomExecutor(executors, nil, nil)
	second := t.randomExecutor(executors, first, nil)
	if second != nil && second.estimate(now, p) < first.estimate(now, p) {
		return second
	}
	return first
}

// nextProbe returns the next executor in turn that is neither failing nor excluded, of
// which there must be one.
func (p *pool) nextProbe(now clock.Instant, local, remote []*executor, exclude []fleet.RouterID) *executor {
	for {
		p.probeTurn++
		e := at(local, remote, p.probeTurn%(len(local)+len(remote)))
		if !e.failing(now) && !slices.Contains(exclude, e.router.ID) {
			return e
		}
	}
}

// AdmitAt returns whether a call that only one executor may run can start in time.
func (t *Table) AdmitAt(id fleet.RouterID, now clock.Instant, limit StartLimit) Admission {
	e := t.executors[id]
	if e == nil {
		return Admission{}
	}
	wait, age, known := e.admissionWait(now, t.pool(e.router.Upstream.Service))
	result := Admission{Wait: wait, Age: age, Executors: 1}
	if known && !e.failing(now) && (now.Add(wait) > limit.By || e.queueFull(age, limit.Queue)) {
		t.refuse(&result, e)
	}
	return result
}

// refuse refuses a call, but for one in probeShare, which is sent to e.
func (t *Table) refuse(result *Admission, e *executor) {
	result.Refused = true
	e.refusalsSinceProbe++
	if e.refusalsSinceProbe >= probeShare {
		e.refusalsSinceProbe, result.Refused = 0, false
		t.force(result, e)
	}
}

func (t *Table) force(result *Admission, e *executor) {
	result.Forced, result.Router = true, e.router
	t.overflowed = e.router.DataCentre != t.settings.DataCentre
}

// ServiceWait returns the least reported wait for a slot among the executors that this
// gateway uses for a service, or false without a recent report.
func (t *Table) ServiceWait(service string, now clock.Instant) (least time.Duration, ok bool) {
	p := t.pools[service]
	if p == nil {
		return 0, false
	}
	local, remote := p.subset()
	for i := range len(local) + len(remote) {
		if wait, known := at(local, remote, i).recentWait(now); known && (!ok || wait < least) {
			least, ok = wait, true
		}
	}
	return least, ok
}

// ExecutorWait returns the reported wait for a slot of one executor, or false without a
// recent report.
func (t *Table) ExecutorWait(id fleet.RouterID, now clock.Instant) (time.Duration, bool) {
	if e := t.executors[id]; e != nil {
		return e.recentWait(now)
	}
	return 0, false
}

// at returns the executor at an index of two lists in a row.
func at(local, remote []*executor, i int) *executor {
	if i < len(local) {
		return local[i]
	}
	return remote[i-len(local)]
}

// failing reports whether the executor has just failed, so that its reports say nothing
// about whether it can run a call.
func (e *executor) failing(now clock.Instant) bool {
	return e.failures > 0 && now.Sub(e.failedAt) < failedTime
}

// admissionWait returns the wait for a slot by the last report and its age. If the report
// is too old it is not known, and the wait is that for this gateway's own calls.
func (e *executor) admissionWait(now clock.Instant, p *pool) (wait, age time.Duration, known bool) {
	age, ok := e.reportAge(now)
	if ok && age <= admissionReportAge {
		return time.Duration(e.wait(age)), age, true
	}
	limit := e.limit()
	return time.Duration(float64(max(0, e.inFlight-limit)) * p.run(e) / float64(limit)), age, false
}

// queueFull reports whether the queue has no room. It is taken to become shorter once the
// next report is overdue.
func (e *executor) queueFull(age time.Duration, limit int) bool {
	slots := float64(e.load.Limit)
	started := float64(max(0, age-reportPause)) * slots / e.reportedRun(age)
	later := max(0, e.sentSince-max(0, e.load.Limit-e.load.InFlight))
	return limit > 0 && float64(e.load.Queued)-started+float64(later) >= float64(limit)
}

// recentWait returns the wait for a slot, or false without a report that is new enough.
func (e *executor) recentWait(now clock.Instant) (time.Duration, bool) {
	age, ok := e.reportAge(now)
	if !ok || age > waitReportAge {
		return 0, false
	}
	return time.Duration(e.wait(age)), true
}
