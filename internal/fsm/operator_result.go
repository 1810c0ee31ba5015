package fsm

// OperatorResult is the remembered outcome of an operator's command.
type OperatorResult struct {
	CommandID string
	Digest    uint64
	Result    Result
}
