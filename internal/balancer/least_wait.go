package balancer

import (
	"time"

	"endivespring/internal/clock"
)

// maxWaitAge is the age up to which a reported wait counts. Queues turn over within a second.
const maxWaitAge = time.Second

// LeastWait returns the least wait of a nested call that the executors of a service have reported, and the age
// of that report. It is unknown unless at least half of the executors of the own data centre
// (of all, if there are none) have reported lately: the others may have room.
func (t *Table) LeastWait(service string, now clock.Instant) (wait, age time.Duration, known bool) {
	pool := t.pools[service]
	if pool == nil {
		return 0, 0, false
	}
	local, remote := pool.subset()
	needed, fresh := (len(local)+1)/2, 0
	if len(local) == 0 {
		needed = (len(remote) + 1) / 2
	}
	for i, executors := range [2][]*executor{local, remote} {
		for _, e := range executors {
			reported := now.Sub(e.loadAt)
			if e.loadAt == 0 || reported > maxWaitAge {
				continue
			}
			if i == localSide || len(local) == 0 {
				fresh++
			}
			if !known || e.load.NestedWait < wait {
				wait, age, known = e.load.NestedWait, reported, true
			}
		}
	}
	return wait, age, known && fresh >= needed
}
