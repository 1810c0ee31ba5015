package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	executorcore "endivespring/internal/executor"
	"endivespring/internal/fleet"
)

const (
	worldSlots = 9
	worldRun   = 120 * time.Millisecond
	worldLink  = 15 * time.Millisecond // one way to another data centre
	// reportedAfterCall is how long after its last call a gateway gets reports, as from the
	// executor duty.
	reportedAfterCall = 2 * time.Second
)

// worldRouter is an executor with a queue, and a gateway with its table.
type worldRouter struct {
	fleet.Router
	table    *Table
	schedule executorcore.ReportSchedule
	latency  time.Duration
	ends     []clock.Instant
	queue    []worldCall
	switches int
	remote   int
	sent     int
	active   bool
	// silent executors send no reports. liar is one that always reports a long wait.
	silent, liar bool
	// lastCalls is when each gateway sent its last call to this executor.
	lastCalls map[*worldRouter]clock.Instant
}

type worldCall struct {
	from        *worldRouter
	outstanding *Outstanding
	at          clock.Instant
}

// world holds two data centres of routers in virtual time, in steps of a millisecond.
type world struct {
	random  *rand.Rand
	now     clock.Instant
	routers []*worldRouter
	steps   map[clock.Instant][]func()
	took    []time.Duration
	// localLink is the time one way within a data centre.
	localLink time.Duration
}

func newWorld(seed uint64, each int, reports bool) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 3)), now: clock.Instant(time.Hour), steps: map[clock.Instant][]func(){}}
	list := testRouters(2*each, 2)
	for i := range list {
		list[i].Upstream.Slots, list[i].Upstream.ColdSlots = worldSlots, worldSlots
	}
	for i, router := range list {
		view := fleet.NewView()
		change := &fleet.Change{Full: true, To: 1, Routers: list}
		view.Apply(change)
		table := NewTable(Settings{Seed: seed + uint64(i), Self: router.ID, DataCentre: router.DataCentre, Reports: reports})
		table.Update(view, change)
		w.routers = append(w.routers, &worldRouter{Router: router, table: table, latency: worldRun, lastCalls: map[*worldRouter]clock.Instant{}})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(max(d, time.Millisecond)) / clock.Instant(time.Millisecond) * clock.Instant(time.Millisecond)
	w.steps[at] = append(w.steps[at], do)
}

func (w *world) delay(a, b *worldRouter) time.Duration {
	if a.DataCentre != b.DataCentre {
		return worldLink
	}
	return w.localLink
}

// run advances the world. load is the offered load of a data centre relative to its slots.
func (w *world) run(d time.Duration, load func(dc fleet.DataCentre) float64) {
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(time.Millisecond) {
		for _, do := range w.steps[w.now] {
			do()
		}
		delete(w.steps, w.now)
		for _, r := range w.routers {
			rate := load(r.DataCentre) * worldSlots / float64(worldRun/time.Millisecond)
			for p := w.random.ExpFloat64(); p < rate; p += w.random.ExpFloat64() {
				w.send(r)
			}
			w.report(r)
		}
	}
}

func (w *world) send(r *worldRouter) {
	router, ok := r.table.Choose(service, w.now, nil)
	if !ok {
		return
	}
	to := w.routers[slices.IndexFunc(w.routers, func(o *worldRouter) bool { return o.ID == router.ID })]
	r.sent++
	if to.DataCentre != r.DataCentre {
		r.remote++
	}
	if active := r.table.pool(service).overflow.active; active != r.active {
		r.active = active
		r.switches++
	}
	c := worldCall{from: r, outstanding: r.table.Sent(router.ID, w.now), at: w.now}
	w.after(w.delay(r, to), func() {
		to.lastCalls[r] = w.now
		to.queue = append(to.queue, c)
		w.start(to)
	})
}

// start runs queued calls while slots are free. Run times have a coefficient of variation
// of 0.8.
func (w *world) start(r *worldRouter) {
	for len(r.queue) > 0 && len(r.ends) < worldSlots {
		c := r.queue[0]
		r.queue = r.queue[1:]
		const sigma = 0.703 // of a lognormal distribution with that coefficient of variation
		took := time.Duration(float64(worldRun) * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2))
		r.ends = append(r.ends, w.now)
		w.after(took, func() {
			r.ends = r.ends[1:]
			r.latency += (took - r.latency) / 10
			w.start(r)
			load := r.load()
			w.after(w.delay(r, c.from), func() {
				c.from.table.Answered(c.outstanding, w.now, load)
				w.took = append(w.took, w.now.Sub(c.at))
			})
		})
	}
}

func (r *worldRouter) load() call.Load {
	l := call.Load{InFlight: len(r.ends), Queued: len(r.queue), Limit: worldSlots, Latency: r.latency}
	l.Wait = l.ExpectedWait()
	if r.liar {
		l.InFlight, l.Wait = worldSlots, time.Second
	}
	return l
}

func (w *world) report(r *worldRouter) {
	load := r.load()
	if r.silent || !r.schedule.Due(w.now, &load) {
		return
	}
	for _, to := range w.routers {
		if at, ok := r.lastCalls[to]; !ok || w.now.Sub(at) > reportedAfterCall {
			continue
		}
		w.after(w.delay(r, to), func() { to.table.Reported(r.ID, w.now, load) })
	}
}

// quantile returns a quantile of the times taken, and forgets them.
func (w *world) quantile(q float64) time.Duration {
	slices.Sort(w.took)
	result := w.took[int(q*float64(len(w.took)-1))]
	w.took = nil
	return result
}
