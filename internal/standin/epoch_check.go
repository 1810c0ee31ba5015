package standin

import "endivespring/internal/ring"

// epochCheck asks whether an epoch is at least the newest seen of its shard.
type epochCheck struct {
	shard string
	epoch uint64
	reply ring.Reply[bool]
}
