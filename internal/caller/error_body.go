package caller

// ErrorBody is the JSON body of an answer that did not come from an upstream.
type ErrorBody struct {
	RequestID string `json:"requestId"`
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
}
