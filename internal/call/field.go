package call

// Field is one field of an HTTP header.
type Field struct{ Name, Value string }
