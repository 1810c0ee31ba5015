package settings

import "strings"

// Problems lists everything that is wrong with a file. Return it as an error
// through ErrorOrNil, since an empty list is not nil as an error.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// ErrorOrNil returns the problems as an error, or nil if there are none.
func (p Problems) ErrorOrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
