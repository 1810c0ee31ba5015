package event

// quotaKey identifies a kind of line: an event, with requests that ran counted
// apart from the others.
type quotaKey struct {
	definition *Definition
	success    bool
}
