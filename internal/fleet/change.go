package fleet

// Change is the difference from version From of the view to version To. A
// change with Full set holds the whole view and may be applied to any version
// up to To.
type Change struct {
	From, To Version
	Full     bool
	// Preset is the whole preset, and PresetChange what differs from the preset at From.
	// At most one of them is set.
	Preset       *Preset
	PresetChange *PresetChange
	Routers      []Router
	// Removed lists the routers that were removed from the view.
	Removed []RouterID
	Shards  []Shard
	// KeySpaces lists whole key spaces, and KeySpaceChanges what differs from those at
	// From. A service is in one of them at most.
	KeySpaces       []KeySpace
	KeySpaceChanges []KeySpaceChange
	// DataCentres and Upstreams list the operators' settings that changed.
	DataCentres []DataCentreSetting
	Upstreams   []UpstreamSetting
	// Config is the number of accepted operator changes.
	Config Version
}

// Empty reports whether the change carries no objects; it may still advance the
// version and Config.
func (c *Change) Empty() bool {
	return !c.ChangesPreset() && len(c.Routers) == 0 && len(c.Removed) == 0 && len(c.Shards) == 0 && len(c.ChangedKeySpaces()) == 0 &&
		len(c.DataCentres) == 0 && len(c.Upstreams) == 0
}

// ChangesPreset reports whether the change brings another preset into force.
func (c *Change) ChangesPreset() bool { return c.Preset != nil || c.PresetChange != nil }

// ChangedKeySpaces returns the services whose key spaces change.
func (c *Change) ChangedKeySpaces() []string {
	var services []string
	for i := range c.KeySpaces {
		services = append(services, c.KeySpaces[i].Service)
	}
	for i := range c.KeySpaceChanges {
		services = append(services, c.KeySpaceChanges[i].Service)
	}
	return services
}
