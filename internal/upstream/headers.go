// Package upstream is a router's HTTP adapter to the upstream beside it: it
// receives announcements and heartbeats, and sends requests and cancellations.
package upstream

// Header names of requests to an upstream and of its responses.
const (
	HeaderRequestID = "Endivespring-Request-Id"
	// HeaderRun is the number of the run. An upstream that repeats it in its response
	// tells a refusal of this run from an earlier one of the same request. Optional.
	HeaderRun   = "Endivespring-Run"
	HeaderKey   = "Endivespring-Key"
	HeaderShard = "Endivespring-Shard"
	HeaderEpoch = "Endivespring-Epoch"
	// HeaderDeadline is the time left to process the request, in milliseconds.
	HeaderDeadline = "Endivespring-Deadline-Ms"
	// HeaderGrantEnd is the expiry of the grant, in nanoseconds since the Unix
	// epoch by the wall clock of the VM that router and upstream share.
	HeaderGrantEnd = "Endivespring-Grant-End"
	// HeaderHandover is opaque data for the next holder of a released key range.
	HeaderHandover = "Endivespring-Handover"
	// HeaderRan is RanNo if the request did not run, RanUnknown if it was
	// cancelled while running, and absent if it ran.
	HeaderRan = "Endivespring-Ran"
	// HeaderChecksum is the XXH64 of the response body in hexadecimal. Optional.
	HeaderChecksum = "Endivespring-Checksum"
)

// Values of HeaderRan.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
)
