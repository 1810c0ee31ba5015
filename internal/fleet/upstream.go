package fleet

// Upstream is what an upstream announces about itself.
type Upstream struct {
	Name    string
	Service string
	// Address is host:port of the upstream's HTTP server.
	Address string
	// Boot changes each time the upstream starts. It may be empty.
	Boot string
	// Slots is the number of requests it runs at once when warm.
	Slots int
	// ColdSlots is the number of requests it bears right after a start; zero
	// means that it does not say.
	ColdSlots int
	// Connections is the largest number of connections it accepts.
	Connections int
	// ChecksGrants is set if the upstream refuses stale epochs by itself.
	ChecksGrants bool
}
