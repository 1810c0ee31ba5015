package settings

import "fmt"

// Problem is one thing wrong with a file.
type Problem struct {
	File string
	// Field is the path of the field, such as peers[1].operator.
	Field   string
	Value   any
	Message string
}

// String formats the file, field, value and message as one line.
func (p Problem) String() string {
	if p.Value == nil {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Field, p.Message)
	}
	return fmt.Sprintf("%s: %s = %v: %s", p.File, p.Field, p.Value, p.Message)
}
