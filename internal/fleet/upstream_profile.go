package fleet

import "time"

// UpstreamProfile is what operators say of every upstream of a service.
type UpstreamProfile struct {
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the largest number of connections to one upstream.
	MaxConnections int
	// Protocol is the protocol that the upstreams speak, TLS whether it is encrypted.
	Protocol string
	TLS      bool
	// ColdTime is how long an upstream stays cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears;
	// zero means that it does not say.
	ColdRate float64
	// WarmUp is how long keys stay slow that arrive without a handover.
	WarmUp time.Duration
	// GrantsBy names the way in which upstreams learn which keys they hold.
	GrantsBy string
}
