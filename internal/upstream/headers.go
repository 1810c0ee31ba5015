// Package upstream is the HTTP front end towards the upstream beside a router:
// it takes announcements and carries requests.
package upstream

// Header names of requests to an upstream and of its answers.
const (
	HeaderRequestID = "Endivespring-Request-Id"
	HeaderKey       = "Endivespring-Key"
	HeaderShard     = "Endivespring-Shard"
	HeaderEpoch     = "Endivespring-Epoch"
	// HeaderDeadline is the time left in milliseconds.
	HeaderDeadline = "Endivespring-Deadline-Ms"
	// HeaderGrantEnd is when the grant expires, in nanoseconds since 1970 by the
	// wall clock of the VM that router and upstream share.
	HeaderGrantEnd = "Endivespring-Grant-End"
	// HeaderRan is RanNo on an answer that proves that the request did not run
	// and RanUnknown if it was cancelled in the middle. It is absent if it ran.
	HeaderRan = "Endivespring-Ran"
	// HeaderChecksum is the XXH64 of the body in hexadecimal; optional.
	HeaderChecksum = "Endivespring-Checksum"
)

// Values of HeaderRan.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
)
