package executor

// recordKey identifies a request of a service.
type recordKey struct {
	service   string
	requestID string
}
