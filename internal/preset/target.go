package preset

// Target is a service of a route as a preset file writes it.
type Target struct {
	Name   string `json:"service" required:"true" kind:"name" doc:"Service that gets requests of the route."`
	Weight int    `json:"weight" default:"0" min:"0" max:"1000000" doc:"Its share, in proportion to the sum of the weights, if the route is split."`
}
