package executor

// operationShare is the slot time that an operation's calls asked for and were given in the
// last seconds. Nested calls count apart from direct ones of the same operation. The unit is
// that of slotShares.
type operationShare struct {
	asked, given float64
	nested       bool
	// jobs is the number of queued and running jobs that are accounted here.
	jobs int
}
