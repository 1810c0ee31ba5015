package preset

import "endivespring/internal/settings"

// Service is a service as a preset file writes it.
type Service struct {
	Name          string            `json:"name" required:"true" doc:"Name in the caller's path."`
	Keyed         bool              `json:"keyed" doc:"Divided by key: one upstream owns each key."`
	Shards        int               `json:"shards" default:"64" min:"1" max:"65536" doc:"Number of shards; fixed for the life of the service."`
	Operations    []Operation       `json:"operations" required:"true" min:"1" doc:"Kinds of request."`
	HedgeQuantile float64           `json:"hedgeQuantile" default:"0.95" min:"0" max:"0.9999" doc:"Latency quantile after which an idempotent lookup of an unkeyed service is sent again; 0 turns hedging off."`
	HedgeBudget   float64           `json:"hedgeBudget" default:"0.05" min:"0" max:"1" doc:"Largest share of requests that are hedged."`
	RetryBudget   float64           `json:"retryBudget" default:"0.1" min:"0" max:"1" doc:"Largest share of requests that are retried."`
	QueueLimit    int               `json:"queueLimit" default:"64" min:"0" max:"65536" doc:"Requests that may wait at one door."`
	RecordWindow  settings.Duration `json:"recordWindow" default:"10m" min:"1s" max:"24h" doc:"How long a door remembers the ids of non-idempotent requests."`
}
