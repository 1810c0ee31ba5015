package call

// HeaderField is one field of an HTTP header.
type HeaderField struct{ Name, Value string }
