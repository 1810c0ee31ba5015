package executor

// RangeResponse is the outcome of a RangeRequest.
type RangeResponse struct {
	// Number is that of the request.
	Number uint64
	Result RangeResult
	// Handover is opaque data for the next holder; of applied releases only.
	Handover string
	// Gone is set if nothing listens at the upstream's address.
	Gone bool
	// Status is the HTTP status of the answer, 0 without one.
	Status int
}
