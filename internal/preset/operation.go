package preset

import "endivespring/internal/settings"

// Operation is an operation of a service in a preset file.
type Operation struct {
	Name       string            `json:"name" required:"true" kind:"name" doc:"Name in the caller's path."`
	Idempotent bool              `json:"idempotent" doc:"Requests may run more than once."`
	Deadline   settings.Duration `json:"deadline" default:"2s" min:"1ms" max:"10m" doc:"Longest time that a request may take."`
}
