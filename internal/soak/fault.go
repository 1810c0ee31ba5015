package soak

import "endivespring/internal/settings"

// Fault is one fault or planned operation of a plan.
type Fault struct {
	// At is relative to the start of the workload.
	At   settings.Duration `json:"at" required:"true" min:"0s" max:"1h" doc:"Time after the start of the workload."`
	For  settings.Duration `json:"for" default:"0s" min:"0s" max:"1h" doc:"How long it lasts."`
	Kind Kind              `json:"kind" required:"true" doc:"Kind of fault or of planned operation."`
	// Target names a process, a path as "FROM>TO", a data centre or a preset.
	Target string `json:"target" required:"true" doc:"Process, path, data centre or preset that it applies to."`
}

// end returns when the fault is over.
func (f *Fault) end() settings.Duration { return f.At + f.For }
