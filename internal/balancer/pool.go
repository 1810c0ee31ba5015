package balancer

import (
	"cmp"
	"slices"
	"time"

	"endivespring/internal/fleet"
)

const (
	localDoors = 16   // doors of the own data centre that an entry uses for a service
	totalDoors = 20   // doors of all data centres that an entry uses for a service
	poolWeight = 0.02 // weight of a new sample in the typical latency

	doorsLocal  = 0
	doorsRemote = 1
)

// pool holds the eligible doors of one service, those of the own data centre
// first. Each list is sorted by the rendezvous hash of entry and door, so that
// its head is this entry's subset.
type pool struct {
	doors [2][]*target
	// typical is a moving average of good latencies of the whole service.
	typical time.Duration
	turn    int
}

func (p *pool) observe(latency time.Duration) {
	if p.typical == firstLatency {
		p.typical = max(1, latency)
		return
	}
	latency = min(latency, strikeFactor*p.typical)
	p.typical += time.Duration(poolWeight * float64(latency-p.typical))
}

// subset returns the doors of the own and of other data centres that this
// entry uses.
func (p *pool) subset() (local, remote []*target) {
	local = p.doors[doorsLocal]
	local = local[:min(len(local), localDoors)]
	remote = p.doors[doorsRemote]
	return local, remote[:min(len(remote), totalDoors-len(local))]
}

func (p *pool) insert(side int, t *target) {
	i, _ := slices.BinarySearchFunc(p.doors[side], t, order)
	p.doors[side] = slices.Insert(p.doors[side], i, t)
}

func (p *pool) remove(t *target) {
	for side := range p.doors {
		if i, ok := slices.BinarySearchFunc(p.doors[side], t, order); ok {
			p.doors[side] = slices.Delete(p.doors[side], i, i+1)
		}
	}
}

// order sorts by weight; equal weights by name.
func order(a, b *target) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.router.ID, b.router.ID))
}

// open returns the first door from index start on that is neither excluded nor
// the other choice, or nil.
func open(doors []*target, start int, other *target, exclude []fleet.RouterID) *target {
	for i := range doors {
		candidate := doors[(start+i)%len(doors)]
		if candidate != other && !slices.Contains(exclude, candidate.router.ID) {
			return candidate
		}
	}
	return nil
}
