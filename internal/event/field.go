package event

// Field is one named value of an entry. Values are strings, errors,
// integers, floats, booleans, durations or string slices.
type Field struct {
	Name  string
	Value any
}

// F returns a field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }
