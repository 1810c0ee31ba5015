package soak

// Second counts the requests that were first sent in one second of a run.
type SecondCounts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unknown counts requests that may have run.
	Unknown int `json:"unknown"`
}
