package loadgen

import "time"

// scheduledRequest is one request to send.
type scheduledRequest struct {
	due       time.Time
	address   string
	operation int
	key       string
	id        string
	resend    bool
}
