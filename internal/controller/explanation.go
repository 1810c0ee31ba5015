package controller

import "endivespring/internal/fleet"

// Explanation says who owns a key and how that came about.
type Explanation struct {
	Service string      `json:"service"`
	Key     string      `json:"key"`
	Shard   string      `json:"shard"`
	Phase   string      `json:"phase"`
	Owner   string      `json:"owner"`
	Epoch   fleet.Epoch `json:"epoch"`
	// Moves are the latest changes of the shard, oldest first.
	Moves []Move `json:"moves"`
}
