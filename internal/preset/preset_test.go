package preset

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

const valid = `{"name":"peak","services":[{"name":"t","keyed":true,"operations":[{"name":"z"},{"name":"a","idempotent":true,"deadline":"50ms"}]},
	{"name":"r","shards":8,"queueLimit":0,"operations":[{"name":"o"}]}]}`

func TestPresetIsSortedAndFilled(t *testing.T) {
	p, err := Parse("p.json", []byte(valid))
	assert.NilError(t, err)
	assert.DeepEqual(t, p, &fleet.Preset{Name: "peak", Services: []fleet.Service{
		{Name: "r", Shards: 8, Operations: []fleet.Operation{{Name: "o", Deadline: 2 * time.Second}},
			HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.1, RecordWindow: 10 * time.Minute},
		{Name: "t", Keyed: true, Shards: 64, Operations: []fleet.Operation{
			{Name: "a", Idempotent: true, Deadline: 50 * time.Millisecond}, {Name: "z", Deadline: 2 * time.Second}},
			HedgeQuantile: 0.95, HedgeBudget: 0.05, RetryBudget: 0.1, QueueLimit: 64, RecordWindow: 10 * time.Minute},
	}})
}

func TestProblems(t *testing.T) {
	for text, want := range map[string][]string{
		`{"name":"p","services":[]}`: {"p.json: services = 0: needs at least 1 items"},
		`{"name":"p","services":[{"name":"s","shards":0,"hedgeQuantile":1,"retryBudget":-0.5,"operations":[]}]}`: {
			"p.json: services[0].shards = 0: must be at least 1", "p.json: services[0].operations = 0: needs at least 1 items",
			"p.json: services[0].hedgeQuantile = 1: must be at most 0.9999", "p.json: services[0].retryBudget = -0.5: must be at least 0"},
		`{"name":"p","services":[{"name":"s","recordWindow":"1s","operations":[{"name":"o"},{"name":"o","idempotent":true}]},{"name":"s","operations":[{"name":"a/b"}]}]}`: {
			"p.json: services[1].operations[0].name = a/b: must be 1 to 64 letters a to z, digits, dots, hyphens or underscores"},
		`{"name":"p","services":[{"name":"s","recordWindow":"1s","operations":[{"name":"o"},{"name":"o","idempotent":true}]},{"name":"s","operations":[{"name":"b"}]}]}`: {
			"p.json: services = s: name is used twice", "p.json: services[0].operations = o: name is used twice",
			"p.json: services[0].operations[0].deadline = 2s: must be at most recordWindow, since the operation is not idempotent"},
	} {
		_, err := Parse("p.json", []byte(text))
		assert.Assert(t, err != nil, text)
		assert.DeepEqual(t, strings.Split(err.Error(), "\n"), want)
	}
	_, err := Read("absent.json")
	assert.ErrorContains(t, err, "absent.json")
}

// FuzzParse checks that no bytes make reading a preset panic.
func FuzzParse(f *testing.F) {
	for _, text := range []string{valid, "", `{"services":[null]}`, `{"name":"p","services":[{"operations":[{"deadline":"1h"}]}]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := Parse("p.json", data); err == nil {
			assert.Assert(t, p.Name != "" && len(p.Services) > 0)
		}
	})
}
