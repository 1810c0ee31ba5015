package controller

import "endivespring/internal/fleet"

// Explanation is the owner of a key, by way of the key's shard, and how it became
// owner.
type Explanation struct {
	Service string      `json:"service"`
	Key     string      `json:"key"`
	Shard   string      `json:"shard"`
	Phase   string      `json:"phase"`
	Owner   string      `json:"owner"`
	Epoch   fleet.Epoch `json:"epoch"`
	// Moves are the latest moves of the shard, oldest first.
	Moves []Move `json:"moves"`
}
