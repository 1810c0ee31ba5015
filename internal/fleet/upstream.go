package fleet

// Upstream is the registration of an upstream, as it announces itself.
type Upstream struct {
	Name    string
	Service string
	// Address is the host:port of the upstream's HTTP server.
	Address string
	// Boot is the boot ID, different after each start of the upstream. It may be
	// empty.
	Boot string
	// StartMillis is when that boot started, by the clock of its VM, in milliseconds since
	// the Unix epoch; zero if it doesn't say. It orders the boots beside a router.
	StartMillis int64
	// Slots is the number of requests that the upstream runs concurrently when
	// warm.
	Slots int
	// ColdSlots is the number of requests that it runs concurrently right after
	// its start; zero means unknown.
	ColdSlots int
	// Connections is the largest number of connections that it accepts.
	Connections int
	// ChecksGrants is set if the upstream itself rejects requests with a stale
	// epoch.
	ChecksGrants bool
}

// StartedBefore reports whether the upstream started before a time in milliseconds since the
// Unix epoch. It is false if either is unknown, that is, zero.
func (u *Upstream) StartedBefore(millis int64) bool {
	return u.StartMillis != 0 && u.StartMillis < millis
}
