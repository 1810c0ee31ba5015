package command

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReferencePagesAreCurrent checks that the pages in docs/ are those that the
// code generates. To generate a page:
// go run ./cmd/endivespring reference events > docs/EVENTS.md
func TestReferencePagesAreCurrent(t *testing.T) {
	for name, write := range referencePages() {
		page, err := os.ReadFile("../../docs/" + strings.ToUpper(name) + ".md")
		assert.NilError(t, err)
		var want bytes.Buffer
		write(&want)
		assert.Equal(t, string(page), want.String(), "docs page %s is not current", name)
	}
}

// TestHelpTextsNameCommandAndExample checks that the help text of each command starts
// with its name and has an example.
func TestHelpTextsNameCommandAndExample(t *testing.T) {
	for _, g := range groups(nil) {
		for _, c := range g.commands {
			assert.Assert(t, strings.HasPrefix(c.Usage(), c.Name()), c.Name())
			assert.Assert(t, strings.Contains(c.Usage(), "Example: endivespring "+c.Name()), c.Name())
		}
	}
}
