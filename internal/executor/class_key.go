package executor

// classKey identifies the queued jobs that are ordered among each other by their
// deadlines only: those of equal rank of one operation.
type classKey struct {
	operation string
	nested    bool
	rank      int
}

func keyOfClass(j *job) classKey {
	return classKey{operation: j.call.Operation, nested: j.call.Nested, rank: j.rank}
}
