package gateway

// Question asks where a request would go. Method is empty for an operation called by name.
type Question struct {
	Service   string
	Operation string
	Key       string
	Method    string
	Host      string
	Path      string
	KeyNumber uint32
	Numbered  bool
}
