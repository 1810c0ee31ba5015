package standin

// Answer is the JSON body of a good answer.
type Answer struct {
	RequestID string `json:"requestId"`
	Key       string `json:"key,omitempty"`
	Upstream  string `json:"upstream"`
	Echo      string `json:"echo,omitempty"`
}
