package preset

import (
	"strconv"

	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/settings"
)

// defaultShards is the number of shards of a service whose file gives none; it
// equals the default in the tag of Service.Shards.
const defaultShards = 64

// Service is a service in a preset file.
type Service struct {
	Name          string            `json:"name" required:"true" kind:"name" doc:"Name in the caller's path."`
	Keyed         bool              `json:"keyed" doc:"Partitioned by key: one upstream owns each key."`
	Shards        int               `json:"shards" default:"64" min:"1" max:"65536" doc:"Number of shards; fixed for the life of the service."`
	Ranged        bool              `json:"ranged" doc:"Numeric keys: upstreams hold ranges of keys, and shards are not used. Requires keyed."`
	Operations    []Operation       `json:"operations" doc:"Operations that callers name in the path; may be left out if a route leads to the service."`
	HedgeQuantile float64           `json:"hedgeQuantile" default:"0.95" min:"0" max:"0.9999" doc:"Latency quantile after which an idempotent request of an unkeyed service is hedged; 0 turns hedging off."`
	HedgeBudget   float64           `json:"hedgeBudget" default:"0.05" min:"0" max:"1" doc:"Largest share of requests that may be hedged."`
	RetryBudget   float64           `json:"retryBudget" default:"0.1" min:"0" max:"1" doc:"Largest share of requests that may be retried."`
	QueueLimit    int               `json:"queueLimit" default:"64" min:"0" max:"65536" doc:"Largest number of requests queued at one executor."`
	RecordWindow  settings.Duration `json:"recordWindow" default:"10m" min:"0s" max:"24h" doc:"How long an executor keeps the deduplication record of a non-idempotent request; 0 if callers never send one twice."`
	Upstreams     Upstreams         `json:"upstreams" doc:"Configuration shared by all upstreams of the service."`
}

// validate checks the fields of the service that depend on each other; path is
// its path in the file.
func (s *Service) validate(path string) settings.Problems {
	var problems settings.Problems
	names := lo.Map(s.Operations, func(o Operation, _ int) string { return o.Name })
	for _, duplicate := range lo.FindDuplicates(names) {
		problems = append(problems, settings.Problem{Field: path + ".operations", Value: duplicate, Message: "name is used twice"})
	}
	for i, o := range s.Operations {
		if !o.Idempotent && o.Deadline > s.RecordWindow {
			field := path + ".operations[" + strconv.Itoa(i) + "].deadline"
			problems = append(problems, settings.Problem{
				Field: field, Value: o.Deadline.Value(), Message: "must be at most recordWindow, since the operation is not idempotent",
			})
		}
	}
	if s.Ranged && !s.Keyed {
		problems = append(problems, settings.Problem{Field: path + ".ranged", Value: true, Message: "requires keyed"})
	}
	if !fleet.GrantMechanism(s.Upstreams.GrantsBy).Known() {
		problems = append(problems, settings.Problem{Field: path + ".upstreams.grantsBy", Value: s.Upstreams.GrantsBy, Message: "is neither heartbeat nor request"})
	}
	return problems
}

func newService(s fleet.Service) Service {
	shards := int(s.Shards)
	if shards == 0 { // ranged, or without operations
		shards = defaultShards
	}
	return Service{
		Name: s.Name, Keyed: s.Keyed, Ranged: s.Ranged, Shards: shards, Upstreams: newUpstreams(s.Profile),
		HedgeQuantile: s.HedgeQuantile, HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget,
		QueueLimit: s.QueueLimit, RecordWindow: settings.Duration(s.RecordWindow),
		Operations: lo.Map(s.Operations, func(o fleet.Operation, _ int) Operation {
			return Operation{Name: o.Name, Idempotent: o.Idempotent, Deadline: settings.Duration(o.Deadline)}
		}),
	}
}
