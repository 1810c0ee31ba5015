package soak

import (
	"strings"
	"time"

	"endivespring/internal/preset"
	"endivespring/internal/settings"
)

// Services and operations of the fleet under test, and its budgets.
const (
	serviceCount   = 2
	unkeyedService = "desk"
	keyedService   = "lanes"
	lookup         = "lookup"
	reserve        = "reserve"
	keyCount       = 60   // distinct keys in the workload
	shardCount     = 16   // shards of each service
	retryBudget    = 0.1  // retries as a share of requests, as the preset sets
	hedgeBudget    = 0.05 // hedges as a share of lookups, as the preset sets
	retryBurst     = 10   // retries that a full budget allows at once
)

// presetFile returns a preset with the services of the fleet. The deadline of
// lookups is operationDeadline in the preset "ordinary" and half of it in others.
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

// serviceOf returns the service of the i-th upstream, counted from 0.
func serviceOf(i int) string {
	if i%serviceCount == 0 {
		return unkeyedService
	}
	return keyedService
}
