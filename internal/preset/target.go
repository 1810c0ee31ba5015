package preset

// Target is a target of a route in a preset file. Its Name is the name of the
// service.
type Target struct {
	Name   string `json:"service" required:"true" kind:"name" doc:"Name of the service."`
	Weight int    `json:"weight" default:"0" min:"0" max:"1000000" doc:"Share of the requests in proportion to the sum of the weights, if split is set."`
}
