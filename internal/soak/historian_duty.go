package soak

import (
	"context"
	"time"

	"endivespring/internal/ring"
)

const checkEvery = time.Second // time between checks of the history so far

// historianDuty keeps the history and checks it while the run goes on.
type historianDuty struct {
	history *History
	folder  string
	seen    *ring.Ring[*observation]
	// broken takes the first broken promises.
	broken ring.Reply[[]Violation]
}

// Run collects until the context ends or a promise is broken.
func (d *historianDuty) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.drain()
			return nil
		case o := <-d.seen.Out():
			d.history.add(o)
		case <-ticker.C:
			if err := d.history.readLedgers(d.folder); err != nil {
				return err
			}
			if violations := check(d.history); len(violations) > 0 {
				d.broken.Send(violations)
			}
		}
	}
}

// drain takes what was seen before the end.
func (d *historianDuty) drain() {
	for d.seen.Depth() > 0 {
		d.history.add(<-d.seen.Out())
	}
}
