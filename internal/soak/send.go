package soak

import "time"

// Send is one sending of a caller's request and what came back.
type Send struct {
	ID        string `json:"id"`
	Router    string `json:"router"`
	Operation string `json:"operation"`
	Key       string `json:"key,omitempty"`
	// Attempt counts the sendings of this request that may have run.
	Attempt int       `json:"attempt"`
	At      time.Time `json:"at"`
	Ended   time.Time `json:"ended"`
	Verdict string    `json:"verdict"`
	Reason  string    `json:"reason,omitempty"`
	// Broken is set if the connection ended without an answer.
	ConnectionLost bool `json:"broken,omitempty"`
	// Foreign is set if the answer is not that of this request, or not whole.
	Mismatched bool `json:"foreign,omitempty"`
	// Last is set on the sending after which the caller stopped.
	Final bool `json:"last,omitempty"`
}
