package caller

// ErrorBody is the JSON body of a response that the router generated, such as a
// refusal.
type ErrorBody struct {
	RequestID string `json:"requestId"`
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
}
