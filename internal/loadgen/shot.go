package loadgen

import "time"

// shot is one request to send.
type shot struct {
	due       time.Time
	address   string
	operation int
	key       string
	id        string
	resend    bool
}
