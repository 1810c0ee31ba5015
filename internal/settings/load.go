package settings

// Load turns the parts of load management of a router on. A fleet whose routers differ
// in these settings works, but they should be the same everywhere.
type Load struct {
	Reports         bool    `json:"reports" default:"false" doc:"Sends reports of the upstream's load to other routers between answers, uses those of others to choose upstreams, and refuses at once what cannot start in time."`
	LearnCapacity   bool    `json:"learnCapacity" default:"false" doc:"Learns from run times how many requests at once the upstream takes well, and sends it no more."`
	QueueByTime     bool    `json:"queueByTime" default:"false" doc:"Bounds the queue by the time in which a request must start instead of by the queue limit of the service."`
	ShareFloor      float64 `json:"shareFloor" default:"0" min:"0" max:"0.9" doc:"Part of its share of the demand for slot time that every operation gets at an upstream without room, whatever its priority. 0 for strict priorities."`
	ParentAdmission bool    `json:"parentAdmission" default:"false" doc:"Refuses requests whose nested calls would find no room in time."`
}
