package fleet

// Preset is a named set of services and limits. Exactly one is in force.
type Preset struct {
	// Version is set by control when the preset comes into force.
	Version Version
	Name    string
	// Services are sorted by name.
	Services []Service
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
