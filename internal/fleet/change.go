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
	// KeySpaces lists the key spaces that changed, each with all of its ranges.
	KeySpaces []KeySpace
	// DataCentres and Upstreams list the operators' settings that changed.
	DataCentres []DataCentreSetting
	Upstreams   []UpstreamSetting
	// Config is the number of accepted operator changes.
	Config Version
}

// Empty reports whether the change carries no objects; it may still advance the
// version and Config.
func (c *Change) Empty() bool {
	return !c.ChangesPreset() && len(c.Routers) == 0 && len(c.Removed) == 0 && len(c.Shards) == 0 && len(c.KeySpaces) == 0 &&
		len(c.DataCentres) == 0 && len(c.Upstreams) == 0
}

// ChangesPreset reports whether the change brings another preset into force.
func (c *Change) ChangesPreset() bool { return c.Preset != nil || c.PresetChange != nil }
