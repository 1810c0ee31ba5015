package settings

// Source reads a process's settings file again when it has changed.
type Source[T any] struct{ path string }

// NewSource returns a source for the settings file at path.
func NewSource[T any](path string) *Source[T] { return &Source[T]{path: path} }

// Read reads and checks the current content of the file.
func (s *Source[T]) Read() (*T, error) {
	target := new(T)
	if err := Read(s.path, target); err != nil {
		return nil, err
	}
	return target, nil
}
