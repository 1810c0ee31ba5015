package loadgen

// TimelineSecond is what came of the requests that were due in one second of a run.
type TimelineSecond struct {
	Sent int `json:"sent"`
	Ran  int `json:"ran"`
}
