package command

// whereLoad is the last report of an executor in the output of explain where.
type whereLoad struct {
	InFlight int     `json:"inFlight"`
	Queued   int     `json:"queued"`
	Limit    int     `json:"limit"`
	WaitMs   float64 `json:"waitMs"`
	AgeMs    float64 `json:"ageMs"`
}
