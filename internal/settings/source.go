package settings

// Source is where a process's settings come from, to be read again when they
// change.
type Source[T any] struct{ path string }

// NewSource returns the source of a settings file.
func NewSource[T any](path string) *Source[T] { return &Source[T]{path: path} }

// Read reads and checks the file as it is now.
func (s *Source[T]) Read() (*T, error) {
	target := new(T)
	if err := Read(s.path, target); err != nil {
		return nil, err
	}
	return target, nil
}
