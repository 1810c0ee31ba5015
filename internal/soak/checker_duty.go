package soak

import (
	"context"
	"time"

	"endivespring/internal/ring"
)

const checkInterval = time.Second // time between two checks of the history so far

// checkerDuty owns the history during a run, adds observations to it and checks
// the invariants.
type checkerDuty struct {
	history      *History
	folder       string
	observations *ring.Ring[*observation]
	// violations receives the result of the first check that finds any.
	violations ring.Reply[[]Violation]
}

// Run collects observations until the context ends.
func (d *checkerDuty) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.drain()
			return nil
		case o := <-d.observations.Out():
			d.history.add(o)
		case <-ticker.C:
			if err := d.history.readLedgers(d.folder); err != nil {
				return err
			}
			if violations := checkInvariants(d.history); len(violations) > 0 {
				d.violations.Send(violations)
			}
		}
	}
}

// drain adds the observations that are still queued.
func (d *checkerDuty) drain() {
	for d.observations.Depth() > 0 {
		d.history.add(<-d.observations.Out())
	}
}
