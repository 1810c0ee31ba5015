package executor

// ReleasedRange is a key range that an upstream has released. Handover is
// opaque data for the next holder.
type ReleasedRange struct {
	First, Last uint32
	Handover    string
}
