package placement

// Policy configures how ranges of keys are placed. The zero value grants a new key space
// in one piece for each owner and moves keys towards shares by slots and speed.
type Policy struct {
	// Interleave is the number of pieces for each owner into which a key space is cut
	// before its first grants, or zero.
	Interleave int
	// ByCapacity divides keys by the capacity of the owners, and moves them only if
	// that serves more requests than the move costs.
	ByCapacity bool
}

// spreads reports whether free ranges are granted whole, and upstreams without ranges
// get one.
func (p Policy) spreads() bool { return p.Interleave > 0 || p.ByCapacity }
