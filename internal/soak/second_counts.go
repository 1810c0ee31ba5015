package soak

// SecondCounts counts the requests whose first send was in one second of a run, by
// their final answer.
type SecondCounts struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unknown counts requests that may have run.
	Unknown int `json:"unknown"`
}
