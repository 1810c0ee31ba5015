package fleet

// Keys is the number of keys of a service whose upstreams hold ranges of keys.
const Keys = 1 << 16

// KeyRange is the ownership of the keys First to Last of a service. Owner and
// Boot name the only start of an upstream that may hold them, unless the range
// is free.
type KeyRange struct {
	First, Last uint32
	Phase       ShardPhase
	Owner       RouterID
	// Boot is the start of the upstream beside the owner that got the range.
	Boot  string
	Epoch Epoch
	// Handover is what the last holder left for the next one; empty if it left
	// nothing.
	Handover string
}

// Size returns the number of keys.
func (r *KeyRange) Size() int { return int(r.Last-r.First) + 1 }

// HeldBy reports whether the range belongs to one start of an upstream, also
// while it is asked back.
func (r *KeyRange) HeldBy(owner RouterID, boot string) bool {
	return r.Phase != ShardFree && r.Owner == owner && r.Boot == boot
}
