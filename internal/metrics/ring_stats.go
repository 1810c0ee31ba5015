package metrics

// RingStats are the statistics of a ring. They are read at each scrape,
// concurrently with the ring's use.
type RingStats interface {
	// Name is the value of the ring label.
	Name() string
	// Depth returns the number of queued items.
	Depth() int
	// Capacity returns the maximum depth.
	Capacity() int
	// Refused returns the number of items refused since the ring was created.
	Refused() int64
	// Dropped returns the number of items discarded since the ring was created.
	Dropped() int64
}
