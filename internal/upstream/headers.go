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
	// HeaderRan is "no" on an answer that proves that the request did not run.
	HeaderRan = "Endivespring-Ran"
	// HeaderChecksum is the XXH64 of the body in hexadecimal; optional.
	HeaderChecksum = "Endivespring-Checksum"
)
