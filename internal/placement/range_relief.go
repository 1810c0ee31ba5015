package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

const (
	// repeatedShare is the share of refused calls that are taken to be repeated once.
	repeatedShare = 0.5
	// rateWindow is the time, in seconds, of independent samples that has the same
	// variance as a reported rate: 0.87 s between reports, each with weight 0.4.
	rateWindow = 3.5
	// usableCapacity is the share of an owner's capacity up to which it gets keys of
	// others. Beyond that, waits grow fast with random variation of the load.
	usableCapacity = 0.9
	// gainTime is the time, in seconds, for which the present load is taken to last:
	// busy keys stay busy for 4 to 5 s.
	gainTime = 4.0
	// gapTime is the time, in seconds, in which nobody serves a moved key: 0.9 to 1.5 s
	// were measured.
	gapTime = 1.2
	// minNetGain is the least number of requests that a move must gain in excess of its
	// cost.
	minNetGain = 1.0
	// minNetGainShare is the least net gain of the move of a busy key, as a share of the
	// requests that its owner serves in gainTime. It exceeds the random variation of
	// reported capacities.
	minNetGainShare = 0.1
)

// relieve revokes keys of owners whose load exceeds their capacity, as long as that serves
// more requests than the gap of the move costs. Owners whose rates lag behind an earlier
// move give nothing, since they would give too much.
func (p *rangePlan) relieve() {
	if p.loads.Total() < minBalancedRate {
		return
	}
	var donors []*rangeOwner
	for _, o := range p.owners {
		o.received, o.original = 0, o.originalShare()
		if o.capacity > 0 && !p.loads.Settling(o.boot) && o.excess() > 0 {
			donors = append(donors, o)
		}
	}
	for moves := max(minMoves, len(p.owners)); moves > 0 && len(donors) > 0; moves-- {
		slices.SortStableFunc(donors, func(a, b *rangeOwner) int { return cmp.Compare(b.excess(), a.excess()) })
		if from := donors[0]; !p.relieveOnce(from) || from.excess() == 0 {
			donors = donors[1:]
		}
	}
}

// relieveOnce revokes the keys of an owner with the greatest net gain, and reports whether
// there are any worth it.
func (p *rangePlan) relieveOnce(from *rangeOwner) bool {
	if p.moveBusyKey(from) {
		return true
	}
	to := p.owners.receiver()
	if to == from || to.full() || to.room() <= 0 {
		to = p.owners.roomiest()
	}
	if to == from || to.full() || to.room() <= 0 {
		return false
	}
	best := Move{From: from.router, To: to.router, Demand: from.demand(), Capacity: from.capacity, Room: to.room()}
	found := false
	amount := min(from.excess()/from.original, to.room())
	p.eachSubrange(from, amount, func(first, last uint32) {
		load := p.loads.Sum(first, last)
		if load > to.room() {
			return
		}
		gain, cost := gainTime*min(load*from.original, from.excess()), gapTime*load*from.original
		if net := gain - cost; net >= minNetGain && (!found || net > best.Gain-best.Cost) {
			best.First, best.Last, best.Load, best.Gain, best.Cost, found = first, last, load, gain, cost, true
		}
	})
	if found {
		p.move(&best, from, to)
	}
	return found
}

// moveBusyKey moves the busiest key of an owner, or its range if none may be split, if no
// owner has room for all of its load and the roomiest one serves enough more of it than the
// present one. Otherwise such a key stays, and its owner gives other keys away.
func (p *rangePlan) moveBusyKey(from *rangeOwner) bool {
	to := p.owners.roomiest()
	if to == from || to.full() || to.room() <= 0 {
		return false
	}
	key, load := p.busiestKey(from)
	if load == 0 || p.loads.movedRecently(key, from.boot) {
		return false
	}
	first, last := key, key
	if p.full() || from.full() {
		r := p.space.Find(key)
		first, last = r.First, r.Last
		load = p.loads.Sum(first, last)
	}
	if load <= to.room() {
		return false
	}
	demand := load * from.original
	lost := min(from.demand(), from.capacity) - min(from.demand()-demand, from.capacity)
	// The next owner serves the keys after the gap, the present one would serve them all the time.
	gain, cost := (gainTime-gapTime)*min(demand, to.room()), gainTime*lost
	if gain-cost < max(minNetGain, minNetGainShare*gainTime*from.capacity) {
		return false
	}
	p.move(&Move{
		First: first, Last: last, From: from.router, To: to.router, Load: load, Demand: from.demand(), Capacity: from.capacity, Room: to.room(), Gain: gain, Cost: cost,
		BusyKey: &BusyKey{Key: key, Boot: from.boot},
	}, from, to)
	return true
}

func (p *rangePlan) move(m *Move, from, to *rangeOwner) {
	p.revoke(m.First, m.Last)
	from.ranges = p.countRanges(from)
	from.load -= m.Load
	to.load += m.Load
	to.received++
	p.moves = append(p.moves, *m)
}

// eachSubrange calls visit with the granted ranges of an owner, and, while ranges may be
// split, with the longest prefix and suffix of each of at most the given load and with the
// owner's busiest key.
func (p *rangePlan) eachSubrange(o *rangeOwner, amount float64, visit func(first, last uint32)) {
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if r.Phase != fleet.ShardGranted || !r.HeldBy(o.router, o.boot) {
			continue
		}
		visit(r.First, r.Last)
		if !p.full() {
			visit(r.First, p.loads.PrefixEnd(r.First, r.Last, amount))
			visit(p.loads.SuffixStart(r.First, r.Last, amount), r.Last)
		}
	}
	if key, load := p.busiestKey(o); load > 0 && !p.full() && !o.full() {
		visit(key, key)
	}
}

// busiestKey returns the granted key of an owner with the most load.
func (p *rangePlan) busiestKey(o *rangeOwner) (key uint32, load float64) {
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if r.Phase != fleet.ShardGranted || !r.HeldBy(o.router, o.boot) {
			continue
		}
		for k := r.First; k <= r.Last; k++ {
			if l := p.loads.keyLoad(k); l > load {
				key, load = k, l
			}
		}
	}
	return key, load
}
