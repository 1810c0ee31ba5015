package metrics

// RingFigures is what a ring tells about itself.
type RingFigures interface {
	// Name returns the ring's name.
	Name() string
	// Depth returns the number of items held.
	Depth() int
	// Capacity returns the largest number of items held.
	Capacity() int
	// Refused returns how many items were refused since the start.
	Refused() int64
	// Dropped returns how many items were discarded since the start.
	Dropped() int64
}
