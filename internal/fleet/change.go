package fleet

// Change turns the view of version From into the view of version To. A change
// with Full set replaces the whole view and may be applied to any older one.
type Change struct {
	From, To Version
	Full     bool
	Preset   *Preset
	Routers  []Router
	// Removed lists routers that are gone.
	Removed []RouterID
	Shards  []Shard
	// KeySpaces lists key spaces that changed, whole.
	KeySpaces []KeySpace
	// DataCentres and Upstreams list settings that changed.
	DataCentres []DataCentreSetting
	Upstreams   []UpstreamSetting
	// Config is the number of accepted operator changes.
	Config Version
}

// Empty reports whether the change alters nothing but the version.
func (c *Change) Empty() bool {
	return c.Preset == nil && len(c.Routers) == 0 && len(c.Removed) == 0 && len(c.Shards) == 0 && len(c.KeySpaces) == 0 &&
		len(c.DataCentres) == 0 && len(c.Upstreams) == 0
}
