package soak

import "time"

// Send is one send of a caller's request and its outcome.
type Send struct {
	ID        string `json:"id"`
	Router    string `json:"router"`
	Operation string `json:"operation"`
	Key       string `json:"key,omitempty"`
	// Attempt is one more than the number of earlier sends that may have run.
	Attempt int       `json:"attempt"`
	At      time.Time `json:"at"`
	Ended   time.Time `json:"ended"`
	Verdict string    `json:"verdict"`
	Reason  string    `json:"reason,omitempty"`
	// ConnectionLost is set if the connection failed before an answer.
	ConnectionLost bool `json:"broken,omitempty"`
	// Mismatched is set if the answer belongs to another request or is incomplete.
	Mismatched bool `json:"foreign,omitempty"`
	// Final is set on the last send of the request.
	Final bool `json:"last,omitempty"`
}
