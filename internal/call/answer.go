package call

import (
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Answer is the outcome of a call, whole or not at all.
type Answer struct {
	Number    uint64
	RequestID string
	Verdict   verdict.Verdict
	Reason    verdict.Reason
	// Status is the upstream's HTTP status, or zero if there is no answer.
	Status      int
	Body        []byte
	ContentType string
	// Header is the upstream's, without the fields of its connection.
	Header []Field
	// RetryAfter is when a caller may come back whose request was refused.
	RetryAfter time.Duration
	// Upstream and Epoch say where the request ran.
	Upstream string
	Epoch    fleet.Epoch
	Load     Load
	// Service and Route are what the entry took the request for, if it knew; they
	// are for its own figures and not sent on.
	Service string
	Route   string
}

// Refusal returns an answer without a body.
func Refusal(c *Call, v verdict.Verdict, reason verdict.Reason) Answer {
	return Answer{Number: c.Number, RequestID: c.RequestID, Verdict: v, Reason: reason}
}
