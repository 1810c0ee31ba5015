package standin

// Answer is the JSON body of an answer to a request that ran. Echo is the body of
// the request.
type Answer struct {
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	Upstream  string `json:"upstream"`
	Echo      string `json:"echo,omitempty"`
}
