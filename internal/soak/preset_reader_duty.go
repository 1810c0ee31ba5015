package soak

import (
	"context"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/operator"
	"endivespring/internal/ring"
)

const readInterval = 250 * time.Millisecond // time between two reads of the preset

// presetReaderDuty reads the preset in force at regular intervals, as an operator.
type presetReaderDuty struct {
	client       *operator.Client
	observations *ring.Ring[*observation]
}

// Run reads until the context ends. Failed reads are not recorded.
func (d *presetReaderDuty) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		at := time.Now()
		if body, err := d.client.Preset(); err == nil && body.Preset != nil {
			_ = d.observations.Put(ctx, &observation{presetRead: &PresetRead{At: at, Version: uint64(body.Version), Preset: body.Preset.Name}})
		}
		clock.Pause(ctx, readInterval)
	}
	return nil
}
