package preset

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
)

const valid = `{"name":"peak","services":[{"name":"t","keyed":true,"operations":[{"name":"z"},{"name":"a","idempotent":true,"deadline":"50ms"}]},
	{"name":"r","shards":8,"queueLimit":0,"operations":[{"name":"o"}]}]}`

func TestParseSortsAndAppliesDefaults(t *testing.T) {
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

func TestParseReportsProblems(t *testing.T) {
	for text, want := range map[string][]string{
		`{"name":"p","services":[]}`: {"p.json: services = 0: needs at least 1 items"},
		`{"name":"p","services":[{"name":"s","shards":0,"hedgeQuantile":1,"retryBudget":-0.5,"operations":[]}]}`: {
			"p.json: services[0].shards = 0: must be at least 1",
			"p.json: services[0].hedgeQuantile = 1: must be at most 0.9999", "p.json: services[0].retryBudget = -0.5: must be at least 0"},
		`{"name":"p","services":[{"name":"s","operations":[]},{"name":"t"}]}`: {
			"p.json: services[0].operations: missing, and no route leads to the service",
			"p.json: services[1].operations: missing, and no route leads to the service"},
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

// FuzzParse checks that Parse does not panic and accepts only presets with a
// name and services.
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

const routed = `{"name":"routed","limits":{"maxHeader":16384,"idleTimeout":"15s"},
	"services":[{"name":"seats","keyed":true,"ranged":true,"recordWindow":"0s","upstreams":{"coldRate":23,"warmUp":"5s"}},{"name":"tills","recordWindow":"0s"}],
	"routes":[{"name":"b","host":"a.example","prefix":"/x/","timeout":"1s","objective":"400ms","split":true,
		"targets":[{"service":"seats","weight":9},{"service":"tills","weight":1}]},
		{"name":"a","host":"a.example","prefix":"/","idempotent":true,"timeout":"2s","maxUpstreams":3,"targets":[{"service":"tills"}]}]}`

func TestParseRoutes(t *testing.T) {
	p, err := Parse("p.json", []byte(routed))
	assert.NilError(t, err)
	assert.DeepEqual(t, p.Limits, fleet.CallerLimits{MaxHeader: 16384, IdleTimeout: 15 * time.Second})
	assert.DeepEqual(t, p.Routes, []fleet.Route{
		{Name: "a", Host: "a.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, MaxUpstreams: 3, Targets: []fleet.Target{{Service: "tills"}}},
		{Name: "b", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Objective: 400 * time.Millisecond, MaxUpstreams: 2, Split: true,
			Targets: []fleet.Target{{Service: "seats", Weight: 9}, {Service: "tills", Weight: 1}}},
	})
	seats := p.Service("seats")
	assert.Assert(t, seats.Ranged && seats.Shards == 0 && seats.RecordWindow == 0)
	assert.DeepEqual(t, seats.Profile, fleet.UpstreamProfile{ColdRate: 23, WarmUp: 5 * time.Second})

	data, err := json.Marshal(NewFile(p))
	assert.NilError(t, err)
	again, err := Parse("shown.json", data)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, p)
}

func TestParseReportsRouteProblems(t *testing.T) {
	for change, want := range map[[2]string]string{
		{`"service":"tills"}`, `"service":"bar"}`}:            "p.json: routes: route a: unknown service bar",
		{`"prefix":"/x/"`, `"prefix":"/"`}:                    "p.json: routes: route b: same host and prefix as route a",
		{`"timeout":"1s"`, `"timeout":"0s"`}:                  "p.json: routes[0].timeout = 0s: must be at least 1ms",
		{`"prefix":"/x/"`, `"prefix":"/x"`}:                   `p.json: routes: route b: prefix "/x" must begin and end with a slash`,
		{`"keyed":true,`, ``}:                                 "p.json: services[0].ranged = true: requires keyed",
		{`{"name":"tills",`, `{"name":"x"},{"name":"tills",`}: "p.json: services[1].operations: missing, and no route leads to the service",
	} {
		text := strings.Replace(routed, change[0], change[1], 1)
		assert.Assert(t, text != routed, change[0])
		_, err := Parse("p.json", []byte(text))
		assert.Error(t, err, want)
	}
}
