package placement

// BusyKey is a key that moves although its next owner cannot serve all of its load.
type BusyKey struct {
	Key uint32
	// Boot is the boot ID of the upstream that gives the key away.
	Boot string
}
