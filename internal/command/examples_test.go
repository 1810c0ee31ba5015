package command

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/preset"
	"endivespring/internal/settings"
)

// TestExamplesAreValid validates every JSON file in examples/ as the subcommand
// check does.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.json")
	assert.NilError(t, err)
	kinds := map[string]int{}
	for _, file := range files {
		kind, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(file), ".json"), "-")
		kinds[kind]++
		var target any = &preset.File{}
		switch kind {
		case "control":
			target = &settings.Control{}
		case "router":
			target = &settings.Router{}
		case "operator":
			target = &settings.Operator{}
		}
		assert.NilError(t, settings.Read(file, target))
	}
	assert.Equal(t, kinds["control"], 3)
	assert.Equal(t, kinds["router"], 4)
	assert.Equal(t, kinds["operator"], 1)
}
