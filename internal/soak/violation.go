package soak

// Violation is a violated invariant, by name, with a description for the reader.
type Violation struct {
	Invariant string `json:"promise"`
	Detail    string `json:"detail"`
}
