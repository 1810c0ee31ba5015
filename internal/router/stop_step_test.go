package router

import (
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against step names that cannot be searched for or counted by in the log, since they
// read as text.
func TestStopStepNamesAreIdentifiers(t *testing.T) {
	identifier := regexp.MustCompile("^[a-z]+(-[a-z]+)*$")
	seen := map[string]bool{}
	for step := range stopSteps {
		assert.Check(t, identifier.MatchString(step.String()), "step %q", step)
		assert.Check(t, !seen[step.String()], "step %q", step)
		seen[step.String()] = true
	}
}
