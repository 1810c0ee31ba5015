package fleet

// Version is the version of a view, incremented by every change. It never
// decreases.
type Version uint64
