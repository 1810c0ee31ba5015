package operator

// ExplainQuery asks who owns a key.
type ExplainQuery struct {
	Service string
	Key     string
}
