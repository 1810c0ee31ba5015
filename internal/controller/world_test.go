package controller_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/settings"
)

const (
	stepTime    = 10 * time.Millisecond
	shardCount  = 8
	serviceName = "timetable"
)

// timing returns the default time spans.
func timing() settings.Timing {
	var s settings.Control
	data := `{"fleet":"f","name":"c","dataCentre":"d","dataFolder":"x","tokenFile":"x","peers":[{"name":"c","peer":"127.0.0.1:1","operator":"127.0.0.1:2"}]}`
	if err := settings.Parse("test", []byte(data), &s); err != nil {
		panic(err)
	}
	return s.Timing
}

// world joins control processes and routers by a transport and an ordered
// list in place of the replicated log. Its time is virtual.
type world struct {
	rng     *rand.Rand
	timing  settings.Timing
	now     time.Duration
	nodes   []*node
	routers []*router
	packets []packet
	// chaos is the chance of a message to be lost, doubled or late.
	chaos float64

	log     []entry
	pending []proposal
	term    uint64
	leader  int
	// contact is when a majority last heard the leader; electAt is when the
	// next election starts if it hears nothing more.
	contact, electAt time.Duration
	configs          []time.Duration
	presets          map[fleet.Version]string
	runs             []*run
	epochs           map[fleet.ShardID]fleet.Epoch
	nextStream       controller.StreamID
	nextID           uint64
	faults           []string
	failure          error
}

// drifting is a local clock with an offset and a rate.
type drifting struct {
	offset time.Duration
	rate   float64
}

func (d drifting) at(real time.Duration) clock.Instant {
	return clock.Instant(d.offset) + clock.Instant(float64(real)*d.rate)
}

func (d drifting) real(local clock.Instant) time.Duration {
	return time.Duration(float64(local-clock.Instant(d.offset)) / d.rate)
}

// packet is a message under way.
type packet struct {
	due      time.Duration
	from, to string
	deliver  func()
}

type entry struct {
	term    uint64
	command fsm.Command
}

type proposal struct {
	due     time.Duration
	node    int
	term    uint64
	command fsm.Command
}

// run is work at an upstream.
type run struct {
	shard  fleet.ShardID
	router *router
	door   uint64
	id     uint64
	ends   time.Duration
	latest time.Duration
}

func newWorld(seed uint64, routers int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), timing: timing(), leader: -1, presets: map[fleet.Version]string{},
		epochs: map[fleet.ShardID]fleet.Epoch{}, electAt: 100 * time.Millisecond,
	}
	for i := range 3 {
		w.nodes = append(w.nodes, &node{w: w, index: i, name: fmt.Sprintf("control-%d", i), clock: w.clock()})
		w.nodes[i].restart()
	}
	for i := range routers {
		r := &router{w: w, name: fmt.Sprintf("router-%d", i), clock: w.clock(), centre: fleet.DataCentre(fmt.Sprintf("dc%d", i%2))}
		w.routers = append(w.routers, r)
		r.restart()
	}
	return w
}

func (w *world) clock() drifting {
	return drifting{offset: time.Hour + time.Duration(w.rng.Int64N(int64(time.Hour))), rate: 0.99 + 0.02*w.rng.Float64()}
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.now}, args...)...)
	}
}

func (w *world) leases() lease.Timing {
	t := w.timing
	return lease.Timing{Ownership: t.Ownership.Value(), View: t.View.Value(), Margin: t.Drift.Value()}
}

func (w *world) core() *controller.Core {
	return controller.New(w.leases(), placement.Limits{MaxRebalancing: 16}, func(name string) string { return name })
}

// send puts a message on its way, in order unless the transport is in chaos.
func (w *world) send(from, to string, deliver func()) {
	delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
	copies := 1
	if w.rng.Float64() < w.chaos {
		switch w.rng.IntN(3) {
		case 0:
			return
		case 1:
			copies = 2
		default:
			delay = time.Duration(w.rng.IntN(1500)) * time.Millisecond
		}
	}
	for range copies {
		w.packets = append(w.packets, packet{due: w.now + delay, from: from, to: to, deliver: deliver})
	}
}

// step moves time on and lets everybody act.
func (w *world) step() {
	w.now += stepTime
	w.consensus()
	w.deliver()
	for _, n := range w.nodes {
		n.step()
	}
	for _, r := range w.routers {
		r.step()
	}
	w.endRuns()
}

func (w *world) deliver() {
	var due []packet
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool {
		if p.due > w.now || w.asleep(p.to) {
			return false
		}
		due = append(due, p)
		return true
	})
	if w.chaos == 0 {
		slices.SortStableFunc(due, func(a, b packet) int { return cmp.Compare(a.due, b.due) })
	}
	for _, p := range due {
		if !w.cut(p.from) && !w.cut(p.to) {
			p.deliver()
		}
	}
}

func (w *world) asleep(name string) bool {
	for _, n := range w.nodes {
		if n.name == name {
			return n.frozen > w.now
		}
	}
	for _, r := range w.routers {
		if r.name == name {
			return r.frozen > w.now
		}
	}
	return false
}

func (w *world) cut(name string) bool {
	for _, n := range w.nodes {
		if n.name == name {
			return n.cut > w.now || n.down > w.now
		}
	}
	for _, r := range w.routers {
		if r.name == name {
			return r.cut > w.now || r.down > w.now
		}
	}
	return false
}

// consensus stands in for the replicated log: one leader a term, a lease that
// ends before the next election, entries in one order.
func (w *world) consensus() {
	election := w.timing.Election.Value()
	if w.leader >= 0 && w.nodes[w.leader].reaches() {
		w.contact = w.now
		w.electAt = w.now + election + time.Duration(w.rng.Int64N(int64(election)))
		n := w.nodes[w.leader]
		if w.now >= n.ready {
			n.leaseUntil = n.clock.at(w.now).Add(election - w.timing.Drift.Value())
		}
	}
	if w.now >= w.electAt {
		w.elect()
	}
	w.commit()
}

func (w *world) elect() {
	var able []int
	for i, n := range w.nodes {
		if n.reaches() {
			able = append(able, i)
		}
	}
	if len(able) < 2 {
		w.electAt = w.now + w.timing.Election.Value()
		return
	}
	// What the last leader proposed may survive it.
	for _, p := range w.pending {
		if p.term == w.term && w.rng.IntN(2) == 0 {
			w.append(p.command)
		}
	}
	lost := w.pending
	w.pending = nil
	w.term++
	w.leader = able[w.rng.IntN(len(able))]
	// What waits at a node may be appended when it leads again.
	for _, p := range lost {
		if p.node == w.leader && w.rng.IntN(2) == 0 {
			w.append(p.command)
		}
	}
	n := w.nodes[w.leader]
	n.leaseUntil = 0
	n.ready = w.now + time.Duration(5+w.rng.IntN(40))*time.Millisecond
	w.contact = w.now
}

func (w *world) append(command fsm.Command) {
	w.log = append(w.log, entry{w.term, command})
}

func (w *world) commit() {
	var left []proposal
	for _, p := range w.pending {
		switch {
		case p.term != w.term || p.node != w.leader:
		case p.due > w.now || !w.nodes[w.leader].reaches():
			left = append(left, p)
		default:
			w.append(p.command)
		}
	}
	w.pending = left
}

// started checks a run that a door just handed to its upstream.
func (w *world) started(r *router, shard fleet.ShardID, epoch fleet.Epoch, ends, latest time.Duration, id uint64) {
	if epoch < w.epochs[shard] {
		w.fail("%s runs %s under epoch %d after epoch %d", r.name, shard, epoch, w.epochs[shard])
	}
	w.epochs[shard] = max(w.epochs[shard], epoch)
	for _, other := range w.runs {
		if other.shard == shard && (other.router != r || other.door != r.door) {
			w.fail("%s runs %s while %s does", r.name, shard, other.router.name)
		}
	}
	for i, committed := range w.configs {
		if config := fleet.Version(i + 1); committed+w.timing.View.Value()+100*time.Millisecond < w.now && r.view.Config < config {
			w.fail("%s takes work under config %d, but %d is in force since %v", r.name, r.view.Config, config, committed)
		}
	}
	w.runs = append(w.runs, &run{shard: shard, router: r, door: r.door, id: id, ends: min(ends, latest), latest: latest})
}

func (w *world) endRuns() {
	w.runs = slices.DeleteFunc(w.runs, func(x *run) bool {
		if x.ends > w.now {
			return false
		}
		x.router.finished = append(x.router.finished, x)
		return true
	})
}

// unserved returns the shards that no router that is up may serve now.
func (w *world) unserved() []fleet.ShardID {
	var missing []fleet.ShardID
	for n := range uint32(shardCount) {
		id := fleet.ShardID{Service: serviceName, Number: n}
		if !slices.ContainsFunc(w.routers, func(r *router) bool { return r.probe(id) }) {
			missing = append(missing, id)
		}
	}
	return missing
}
