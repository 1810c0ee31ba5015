package soak

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

const readEvery = 250 * time.Millisecond // time between readings of the preset

// readerDuty reads the preset in force again and again.
type readerDuty struct {
	client *operator.Client
	seen   *ring.Ring[*observation]
}

// Run reads until the context ends. A reading that fails says nothing.
func (d *readerDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		at := time.Now()
		if body, err := d.client.Preset(); err == nil && body.Preset != nil {
			_ = d.seen.Put(ctx, &observation{reading: &Reading{At: at, Version: uint64(body.Version), Preset: body.Preset.Name}})
		}
		clock.Pause(ctx, readEvery)
	}
	return nil
}
