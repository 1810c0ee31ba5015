package balancer

import (
	"cmp"
	"slices"
	"time"

	"endivespring/internal/fleet"
)

const (
	maxLocalExecutors   = 16   // executors of the own data centre that a gateway uses for a service
	maxExecutors        = 20   // executors of all data centres that a gateway uses for a service
	typicalSampleWeight = 0.02 // weight of a new sample in typicalLatency

	unknownRoundTrip = 15 * time.Millisecond // round trip of a link before it is known

	localSide  = 0
	remoteSide = 1
)

// pool holds the eligible executors of one service, separately for the own and for other
// data centres. Each list is sorted by the rendezvous hash of gateway and executor, so
// that its head is the subset that this gateway uses.
type pool struct {
	executors [2][]*executor
	// typicalLatency is a moving average over the service's answered calls, in which
	// outliers are capped. It is initialLatency before the first sample.
	typicalLatency time.Duration
	roundRobinTurn int
	// dataCentres holds the latencies of each data centre with executors.
	dataCentres []*dataCentreLatency
	// own is that of the gateway, or nil.
	own      *dataCentreLatency
	overflow overflow
	// probeTurn is the index of the executor that is tried next although it reports that
	// it is full.
	probeTurn int
}

// dataCentre returns the latencies of a data centre, created on first use.
func (p *pool) dataCentre(name fleet.DataCentre, side int) *dataCentreLatency {
	i := slices.IndexFunc(p.dataCentres, func(c *dataCentreLatency) bool { return c.name == name })
	if i < 0 {
		i = len(p.dataCentres)
		p.dataCentres = append(p.dataCentres, &dataCentreLatency{name: name})
	}
	if side == localSide {
		p.own = p.dataCentres[i]
	}
	return p.dataCentres[i]
}

// run returns the reported run time of an executor, or the typical latency before its first
// report, in nanoseconds.
func (p *pool) run(e *executor) float64 {
	if e.load.Latency > 0 {
		return float64(e.load.Latency)
	}
	return float64(p.typicalLatency)
}

// distance returns how much longer calls to an executor take because of its data centre.
// It is remoteShare of the run time until both data centres have answered calls.
func (p *pool) distance(e *executor) float64 {
	switch {
	case e.dataCentreLatency == p.own:
		return 0
	case p.own == nil || p.own.leastLatency == 0 || e.dataCentreLatency.leastLatency == 0:
		return remoteShare * p.run(e)
	default:
		return float64(max(0, e.dataCentreLatency.leastLatency-p.own.leastLatency))
	}
}

// roundTrip returns the round trip of the link to an executor: the distance of its data centre
// or, if that is not known, unknownRoundTrip, but at most the least latency there.
func (p *pool) roundTrip(e *executor) time.Duration {
	if e.dataCentreLatency != p.own && p.own != nil && p.own.leastLatency > 0 && e.dataCentreLatency.leastLatency > p.own.leastLatency {
		return e.dataCentreLatency.leastLatency - p.own.leastLatency
	}
	if e.dataCentreLatency.leastLatency > 0 {
		return min(unknownRoundTrip, e.dataCentreLatency.leastLatency)
	}
	return unknownRoundTrip
}

// observeLatency adds a sample to the typical latency.
func (p *pool) observeLatency(latency time.Duration) {
	if p.typicalLatency == initialLatency {
		p.typicalLatency = max(1, latency)
		return
	}
	latency = min(latency, outlierFactor*p.typicalLatency)
	p.typicalLatency += time.Duration(typicalSampleWeight * float64(latency-p.typicalLatency))
}

// subset returns the executors of the own and of other data centres that this gateway
// uses.
func (p *pool) subset() (local, remote []*executor) {
	local = p.executors[localSide]
	local = local[:min(len(local), maxLocalExecutors)]
	remote = p.executors[remoteSide]
	return local, remote[:min(len(remote), maxExecutors-len(local))]
}

func (p *pool) insert(side int, e *executor) {
	i, _ := slices.BinarySearchFunc(p.executors[side], e, byHash)
	p.executors[side] = slices.Insert(p.executors[side], i, e)
}

func (p *pool) remove(e *executor) {
	for side := range p.executors {
		if i, ok := slices.BinarySearchFunc(p.executors[side], e, byHash); ok {
			p.executors[side] = slices.Delete(p.executors[side], i, i+1)
		}
	}
}

// byHash orders executors by descending rendezvous hash, and equal hashes by router ID.
func byHash(a, b *executor) int {
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.router.ID, b.router.ID))
}

// firstAvailable returns the first executor at or after index start, wrapping around,
// that is neither excluded nor the other choice, or nil.
func firstAvailable(executors []*executor, start int, other *executor, exclude []fleet.RouterID) *executor {
	for i := range executors {
		candidate := executors[(start+i)%len(executors)]
		if candidate != other && !slices.Contains(exclude, candidate.router.ID) {
			return candidate
		}
	}
	return nil
}
