package gateway

import (
	"slices"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
)

const (
	// maxNestedServices bounds the services whose wait is reported; a deployment has at most
	// four.
	maxNestedServices = 16
	// nestedMemory is how long a service counts as called after its last nested request.
	nestedMemory = time.Minute
	// waitInterval is the least time between two reports of waits. Executors send changes of
	// their load as often.
	waitInterval = 50 * time.Millisecond
)

// reportNested tells the executor of this router of a nested request. A request without a
// timeout of its own does not show its parent's deadline.
func (c *Core) reportNested(now clock.Instant, p *pendingRequest) {
	r := &p.request
	if !c.settings.ReportNested || !r.Nested || r.Timeout <= 0 || p.route == nil || p.route.Objective <= 0 {
		return
	}
	c.output.NestedCalls = append(c.output.NestedCalls, call.NestedCall{
		Service: r.Service, Objective: p.route.Objective, ParentDeadline: r.receivedAt(now).Add(r.Timeout),
	})
	for i := range c.nestedServices {
		if c.nestedServices[i].name == r.Service {
			c.nestedServices[i].calledAt = now
			return
		}
	}
	if len(c.nestedServices) < maxNestedServices {
		c.nestedServices = append(c.nestedServices, nestedService{name: r.Service, calledAt: now})
	}
}

// ReportWaits adds the waits at the services of nested requests to the output, unless it did
// so within waitInterval.
func (c *Core) ReportWaits(now clock.Instant) {
	if len(c.nestedServices) == 0 || now < c.waitsReportedAt.Add(waitInterval) {
		return
	}
	c.waitsReportedAt = now
	c.nestedServices = slices.DeleteFunc(c.nestedServices, func(s nestedService) bool { return now.Sub(s.calledAt) > nestedMemory })
	for _, s := range c.nestedServices {
		if wait, age, known := c.table.LeastWait(s.name, now); known {
			c.output.Waits = append(c.output.Waits, call.ServiceWait{Service: s.name, Wait: wait, ReportedAt: now.Add(-age)})
		}
	}
}
