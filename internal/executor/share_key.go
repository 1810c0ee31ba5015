package executor

// shareKey identifies an operationShare.
type shareKey struct {
	operation string
	nested    bool
}
