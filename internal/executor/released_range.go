package executor

// ReleasedRange is a range of keys that an upstream gave up. Handover is what
// it left for the next holder.
type ReleasedRange struct {
	First, Last uint32
	Handover    string
}
