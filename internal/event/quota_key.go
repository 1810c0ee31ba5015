package event

// quotaKey is a kind of line: an event, apart for requests that ran.
type quotaKey struct {
	definition *Definition
	success    bool
}
