package loadgen

// OperationReport holds the results of one operation of the mix, without resends.
type OperationReport struct {
	Operation string         `json:"operation"`
	Sent      int64          `json:"sent"`
	Verdicts  map[string]int `json:"verdicts"`
	Reasons   map[string]int `json:"reasons"`
	Latency
}
