package relay

import "time"

// Condition holds the faults of a network path. The zero value is a healthy path.
type Condition struct {
	// Refuse makes the relay close each new connection at once.
	Refuse bool
	// ToTarget applies to bytes from the client to the target, ToClient to those
	// from the target to the client.
	ToTarget, ToClient Mode
	// Delay is the latency added in each direction.
	Delay time.Duration
}
