package operator

// ErrorBody is the JSON body of every answer with an error status.
type ErrorBody struct {
	Error string `json:"error"`
}
