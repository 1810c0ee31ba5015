package fleet

// GrantMechanism is how the upstreams of a ranged service learn which key ranges
// they hold.
type GrantMechanism string

const (
	// GrantByDefault leaves the mechanism open: it is GrantByHeartbeat.
	GrantByDefault GrantMechanism = ""
	// GrantByHeartbeat sends the ranges in the answers to heartbeats.
	GrantByHeartbeat GrantMechanism = "heartbeat"
	// GrantByRequest sends a request to the upstream for each range that is granted,
	// renewed or released.
	GrantByRequest GrantMechanism = "request"
)

// Known reports whether the mechanism is one of those above.
func (m GrantMechanism) Known() bool {
	return m == GrantByDefault || m == GrantByHeartbeat || m == GrantByRequest
}
