package soak

// observation is one of what callers, operators and the injector saw.
type observation struct {
	send     *Send
	order    *Order
	reading  *Reading
	injected *Injected
}
