package soak

// Violation is a broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}
