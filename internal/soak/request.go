package soak

// request is a request of the workload.
type request struct {
	id, service, operation, key string
	// firstRouter is the index of the router that it is sent to first.
	firstRouter int
}
