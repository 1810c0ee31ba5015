package clock

// Clock reads monotonic time.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}
