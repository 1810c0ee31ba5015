package gateway

// Decision is what a gateway would do with a request.
type Decision string

// The decisions.
const (
	Sent    Decision = "sent"
	Parked  Decision = "parked"
	Refused Decision = "refused"
)
