package door

import (
	"endivespring/internal/control"
	"endivespring/internal/fleet"
)

func release(s fleet.Shard) control.Release {
	return control.Release{Shard: s.ID, Epoch: s.Epoch}
}
