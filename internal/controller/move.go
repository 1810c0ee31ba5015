package controller

import "endivespring/internal/fleet"

// Move is one change of a shard's ownership.
type Move struct {
	Version fleet.Version `json:"version"`
	Phase   string        `json:"phase"`
	Owner   string        `json:"owner"`
	Epoch   fleet.Epoch   `json:"epoch"`
}
