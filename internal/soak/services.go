package soak

import (
	"strings"
	"time"

	"endivespring/internal/preset"
	"endivespring/internal/settings"
)

// Services and operations of the fleet under test.
const (
	serviceCount   = 2
	unkeyedService = "desk"
	keyedService   = "lanes"
	lookup         = "lookup"
	reserve        = "reserve"
	keyCount       = 60   // keys that callers draw from
	shardCount     = 16   // shards of the keyed service
	retryBudget    = 0.1  // share of requests that may be tried again, as the preset says
	hedgeBudget    = 0.05 // share of lookups that may be hedged, as the preset says
	retryBurst     = 10   // retries that may follow each other after a quiet time
)

// presetFile returns a preset with the fleet's services. Presets differ by name
// and by the deadline of lookups.
func presetFile(name string) *preset.File {
	deadline := settings.Duration(operationDeadline)
	if name != "ordinary" {
		deadline /= 2
	}
	operations := []preset.Operation{
		{Name: lookup, Idempotent: true, Deadline: deadline}, {Name: reserve, Deadline: settings.Duration(operationDeadline)},
	}
	service := func(name string, keyed bool) preset.Service {
		return preset.Service{
			Name: name, Keyed: keyed, Shards: shardCount, Operations: operations, HedgeQuantile: 0.95, HedgeBudget: hedgeBudget,
			RetryBudget: retryBudget, QueueLimit: 64, RecordWindow: settings.Duration(time.Minute),
		}
	}
	return &preset.File{
		Name: name, Services: []preset.Service{service(unkeyedService, false), service(keyedService, true)}, Routes: []preset.Route{},
	}
}

func idempotent(operation string) bool { return operation == lookup }

func isUpstream(name string) bool { return strings.HasPrefix(name, "upstream-") }

func isRouter(name string) bool { return strings.HasPrefix(name, "router-") }

// serviceOf returns the service of the upstream with a number from 0.
func serviceOf(i int) string {
	if i%serviceCount == 0 {
		return unkeyedService
	}
	return keyedService
}
