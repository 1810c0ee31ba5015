package fleet

import "time"

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout is the longest time that a request's header may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}
