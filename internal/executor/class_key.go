package executor

// classKey identifies the queued jobs that are ordered among each other by their
// deadlines only: those of equal rank of one operation.
type classKey struct {
	operation string
	nested    bool
	rank      int
}
