package controller

import "endivespring/internal/fleet"

// Move is one change of the phase or the owner of a shard, and the view version
// that it was committed with.
type Move struct {
	Version fleet.Version `json:"version"`
	Phase   string        `json:"phase"`
	Owner   string        `json:"owner"`
	Epoch   fleet.Epoch   `json:"epoch"`
}
