package loadgen

// Second is what came of the requests that were due in one second of a run.
type Second struct {
	Sent int `json:"sent"`
	Ran  int `json:"ran"`
}
