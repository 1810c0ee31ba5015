package relay

import "time"

// Condition is the state of the path that a relay stands for.
type Condition struct {
	// Refuse closes each new connection.
	Refuse bool
	// Towards is the direction from the side that connects, Back the other one.
	Towards, Back Mode
	// Delay is added to bytes of both directions.
	Delay time.Duration
}
