package gateway

import "endivespring/internal/balancer"

// Settings configures a core.
type Settings struct {
	Balancer balancer.Settings
	// NoHedging turns hedging off, as a baseline for measurements.
	NoHedging bool
	// ReportNested reports nested requests, and the waits at their services, to the executor
	// of this router.
	ReportNested bool
	// QueueByTime is set if executors bound their queues by time instead of by the queue
	// limit of the service.
	QueueByTime bool
}
