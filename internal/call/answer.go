package call

import (
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// Answer is the outcome of a call. It holds either the complete answer of the
// upstream or none of it.
type Answer struct {
	Number    uint64
	RequestID string
	Verdict   verdict.Verdict
	Reason    verdict.Reason
	// Status is the HTTP status of the upstream's answer, or zero if there is
	// none.
	Status      int
	Body        []byte
	ContentType string
	// Header holds the header fields of the upstream's answer without the
	// hop-by-hop fields.
	Header []HeaderField
	// RetryAfter is how long the caller of a refused request should wait before
	// it sends the request again; zero if unspecified.
	RetryAfter time.Duration
	// Upstream and Epoch identify the upstream that ran the request and the
	// epoch of the grant under which it ran.
	Upstream string
	Epoch    fleet.Epoch
	Load     Load
	// Service and Route are those that the gateway resolved the request to, or
	// empty. They serve its own metrics and are not sent to other processes.
	Service string
	Route   string
}

// Refusal returns an answer to a call with a verdict and a reason but without
// content.
func Refusal(c *Call, v verdict.Verdict, reason verdict.Reason) Answer {
	return Answer{Number: c.Number, RequestID: c.RequestID, Verdict: v, Reason: reason}
}

// ValidStatus reports whether a number is an HTTP status. Callers' HTTP libraries may read
// other numbers as a success.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }
