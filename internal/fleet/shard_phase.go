package fleet

// ShardPhase is the state of the ownership of a shard or a range of keys. The
// next grant needs phase free: an owned shard is first revoked and released, or
// freed when its owner's lease has expired.
type ShardPhase uint8

const (
	// ShardFree has no owner and may be granted.
	ShardFree ShardPhase = iota
	// ShardGranted has an owner that may serve it.
	ShardGranted
	// ShardRevoking still has an owner, which has been told to release it.
	ShardRevoking
)

// String returns the name used in status reports. An unknown phase is "free".
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
