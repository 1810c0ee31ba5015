package fleet

// ShardPhase is the state of a shard's ownership.
type ShardPhase uint8

const (
	// ShardFree has no owner.
	ShardFree ShardPhase = iota
	// ShardGranted is owned.
	ShardGranted
	// ShardRevoking is owned by a router that was asked to release it.
	ShardRevoking
)

// String returns the phase's name.
func (p ShardPhase) String() string {
	switch p {
	case ShardGranted:
		return "granted"
	case ShardRevoking:
		return "revoking"
	default:
		return "free"
	}
}
