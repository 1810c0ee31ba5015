package executor

// recordKey names a request of a service.
type recordKey struct {
	service   string
	requestID string
}
