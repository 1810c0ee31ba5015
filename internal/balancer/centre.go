package balancer

import (
	"time"

	"endivespring/internal/fleet"
)

// leastDrift is the weight of a higher sample in centre.least. It is small, since a data
// centre brings far more samples than one executor.
const leastDrift = 0.002

// centre holds the least latency that the executors of a service in one data centre have
// shown. Its difference from that of the own data centre is the latency of the links: run
// times spread widely, but the least ones of many are alike.
type centre struct {
	name  fleet.DataCentre
	least time.Duration
}

func (c *centre) observe(latency time.Duration) {
	if c.least == 0 || latency < c.least {
		c.least = latency
		return
	}
	c.least += time.Duration(leastDrift * float64(latency-c.least))
}
