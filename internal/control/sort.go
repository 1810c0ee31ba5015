package control

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

func sortShards(shards []fleet.Shard) {
	slices.SortFunc(shards, func(a, b fleet.Shard) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.Number, b.ID.Number))
	})
}
