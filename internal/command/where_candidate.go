package command

import (
	"fmt"
	"io"

	"endivespring/internal/balancer"
)

// whereCandidate is an executor in the output of explain where.
type whereCandidate struct {
	Router     string  `json:"router"`
	Upstream   string  `json:"upstream"`
	DataCentre string  `json:"dataCentre"`
	Remote     bool    `json:"remote"`
	EstimateMs float64 `json:"estimateMs"`
	// Sent counts the router's own calls in flight at the executor.
	Sent      int     `json:"sent"`
	LatencyMs float64 `json:"latencyMs"`
	Outliers  int     `json:"outliers"`
	// Failing and Full are set with load reports only: the executor has just failed, or
	// the request cannot start there in time.
	Failing bool `json:"failing,omitempty"`
	Full    bool `json:"full,omitempty"`
	// Report is the last report of the executor, or nil.
	Report *whereLoad `json:"report,omitempty"`
}

func newWhereCandidate(c *balancer.Candidate) whereCandidate {
	out := whereCandidate{
		Router: string(c.Router.ID), Upstream: c.Router.Upstream.Name, DataCentre: string(c.Router.DataCentre), Remote: c.Remote,
		EstimateMs: milliseconds(c.Estimate), Sent: c.InFlight, LatencyMs: milliseconds(c.Latency), Outliers: c.Outliers, Failing: c.Failing, Full: c.Full,
	}
	if c.Reported {
		out.Report = &whereLoad{InFlight: c.Load.InFlight, Queued: c.Load.Queued, Limit: c.Load.Limit, WaitMs: milliseconds(c.Load.Wait), AgeMs: milliseconds(c.Age)}
	}
	return out
}

func (c *whereCandidate) print(w io.Writer) {
	fmt.Fprintf(w, "  %s (upstream %s, %s): estimate %.1f ms, latency %.1f ms, %d sent, %d outliers; ",
		c.Router, c.Upstream, c.DataCentre, c.EstimateMs, c.LatencyMs, c.Sent, c.Outliers)
	if c.Failing {
		fmt.Fprint(w, "failing; ")
	}
	if c.Full {
		fmt.Fprint(w, "full; ")
	}
	if c.Report == nil {
		fmt.Fprintln(w, "no report yet")
		return
	}
	r := c.Report
	fmt.Fprintf(w, "reported %d in flight, %d queued, limit %d, wait %.1f ms, %.0f ms ago\n", r.InFlight, r.Queued, r.Limit, r.WaitMs, r.AgeMs)
}
