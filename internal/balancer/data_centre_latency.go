package balancer

import (
	"time"

	"endivespring/internal/fleet"
)

// leastDrift is the weight of a higher sample in dataCentreLatency.leastLatency. It is small,
// since a data centre brings far more samples than one executor.
const leastDrift = 0.002

// dataCentreLatency holds the least latency that the executors of a service in one data
// centre have shown. Its difference from that of the own data centre is the latency of the
// links: run times spread widely, but the least ones of many are alike.
type dataCentreLatency struct {
	name         fleet.DataCentre
	leastLatency time.Duration
}

func (c *dataCentreLatency) observe(latency time.Duration) {
	if c.leastLatency == 0 || latency < c.leastLatency {
		c.leastLatency = latency
		return
	}
	c.leastLatency += time.Duration(leastDrift * float64(latency-c.leastLatency))
}
