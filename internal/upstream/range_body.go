package upstream

// RangeBody is the JSON body of a native range request. First and Last are included.
type RangeBody struct {
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Epoch uint64 `json:"epoch"`
	// HoldMs is the duration of the lease in milliseconds from the arrival of the
	// request, and Handover what the last holder left; of grants only.
	HoldMs   int64  `json:"holdMs,omitempty"`
	Handover string `json:"handover,omitempty"`
}
