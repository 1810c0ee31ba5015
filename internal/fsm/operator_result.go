package fsm

// OperatorResult is the result of an operator's command, kept for resends.
type OperatorResult struct {
	CommandID string
	Digest    uint64
	Result    Result
}
