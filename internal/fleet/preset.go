package fleet

// Preset is a named set of services and limits. Exactly one is in force.
type Preset struct {
	// Version is set by control when the preset comes into force.
	Version Version
	Name    string
	// Number is the number that the operator gave the preset, and Base that of
	// the preset it was built on; both are zero if numbers are not in use.
	Number uint64
	Base   uint64
	// Services are sorted by name.
	Services []Service
	// Routes are sorted by name.
	Routes []Route
	Limits CallerLimits
}

// Service returns the service with the given name, or nil.
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
