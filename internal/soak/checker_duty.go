package soak

import (
	"context"
	"time"

	"endivespring/internal/ring"
)

const checkInterval = time.Second // time between checks of the history so far

// historianDuty keeps the history and checks it while the run goes on.
type checkerDuty struct {
	history      *History
	folder       string
	observations *ring.Ring[*observation]
	// broken takes the first broken promises.
	violations ring.Reply[[]Violation]
}

// Run collects until the context ends or a promise is broken.
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

// drain takes what was seen before the end.
func (d *checkerDuty) drain() {
	for d.observations.Depth() > 0 {
		d.history.add(<-d.observations.Out())
	}
}
