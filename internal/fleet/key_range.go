package fleet

// KeyCount is the number of keys in the key space of a ranged service: 0 to
// KeyCount-1.
const KeyCount = 1 << 16

// KeyRange is the ownership of the keys First to Last of a ranged service.
// Unless the range is free, Owner and Boot identify the only upstream that may
// hold it: a restarted upstream has another boot ID and holds nothing.
type KeyRange struct {
	First, Last uint32
	Phase       ShardPhase
	Owner       RouterID
	// Boot is the boot ID of the upstream beside Owner at the time of the grant.
	Boot  string
	Epoch Epoch
	// Handover is opaque data that the last holder left for the next one when it
	// released the range; empty if it left none.
	Handover string
}

// Size returns the number of keys in the range.
func (r *KeyRange) Size() int { return int(r.Last-r.First) + 1 }

// HeldBy reports whether the range belongs to the upstream with the given
// router and boot ID. A range being revoked still belongs to its owner until it
// is released.
func (r *KeyRange) HeldBy(owner RouterID, boot string) bool {
	return r.Phase != ShardFree && r.Owner == owner && r.Boot == boot
}
