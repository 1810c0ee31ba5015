package fleet

import "time"

// CallerLimits bounds the requests and connections of callers.
type CallerLimits struct {
	// MaxHeader and MaxBody are the largest header and body of a request, in
	// bytes.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout is the longest time for the whole header of a request to
	// arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}
