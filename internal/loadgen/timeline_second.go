package loadgen

// TimelineSecond counts the requests that were due in one second of a run.
type TimelineSecond struct {
	Sent int `json:"sent"`
	// Ran counts those with the verdict ran.
	Ran int `json:"ran"`
}
