package operator

// ExplainQuery asks for the owner of a service's key.
type ExplainQuery struct {
	Service string
	Key     string
}
