package fleet

import "time"

// UpstreamProfile is the configuration that all upstreams of a service share.
type UpstreamProfile struct {
	// HealthPath is the HTTP path of the health check.
	HealthPath string
	// MaxConnections is the largest number of connections to one upstream.
	MaxConnections int
	// Protocol names the protocol of the upstreams, and TLS tells whether
	// connections are encrypted.
	Protocol string
	TLS      bool
	// ColdTime is the duration of a cold start: how long an upstream has less
	// capacity after its start.
	ColdTime time.Duration
	// ColdRate is the capacity of a cold upstream in requests a second; zero
	// means that it is not given.
	ColdRate float64
	// WarmUp is how long requests for a key are slower after it was granted
	// without a handover.
	WarmUp time.Duration
	// GrantsBy is how upstreams learn which keys are granted to them.
	GrantsBy GrantMechanism
}
