package fleet

// Preset is a named configuration of the fleet: services, routes and limits.
// Exactly one is in force at a time. A preset is immutable once it is in a
// view.
type Preset struct {
	// Version is the number of the operator change that put the preset into
	// force. The replicated state machine sets it.
	Version Version
	Name    string
	// Number is the number that the operator gave the preset, and Base the
	// number of the preset that it was derived from. Both are zero if presets
	// are not numbered.
	Number uint64
	Base   uint64
	// Services are sorted by name.
	Services []Service
	// Routes are sorted by name.
	Routes []Route
	Limits CallerLimits
}

// Service returns the service with the given name, or nil. The preset may be
// nil.
func (p *Preset) Service(name string) *Service {
	if p == nil {
		return nil
	}
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}
