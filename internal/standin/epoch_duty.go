package standin

import (
	"context"

	"endivespring/internal/ring"
)

// epochDuty owns the newest epoch of each shard.
type epochDuty struct {
	checks *ring.Ring[epochCheck]
	newest map[string]uint64
}

// Run answers checks until the context ends.
func (d *epochDuty) Run(ctx context.Context) error {
	for {
		check, err := d.checks.Take(ctx)
		if err != nil {
			return nil
		}
		current := check.epoch >= d.newest[check.shard]
		if current {
			d.newest[check.shard] = check.epoch
		}
		check.reply.Send(current)
	}
}
