package preset

import "endivespring/internal/settings"

// Operation is an operation as a preset file writes it.
type Operation struct {
	Name       string            `json:"name" required:"true" kind:"name" doc:"Name in the caller's path."`
	Idempotent bool              `json:"idempotent" doc:"May run more than once."`
	Deadline   settings.Duration `json:"deadline" default:"2s" min:"1ms" max:"10m" doc:"Longest time that a request may take."`
}
