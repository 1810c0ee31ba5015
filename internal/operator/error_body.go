package operator

// ErrorBody is an error as JSON.
type ErrorBody struct {
	Error string `json:"error"`
}
