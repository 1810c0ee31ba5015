package controller

// ServiceStatus is the number of shards of a service, in all and by phase.
type ServiceStatus struct {
	Service  string `json:"service"`
	Shards   int    `json:"shards"`
	Granted  int    `json:"granted"`
	Revoking int    `json:"revoking"`
	Free     int    `json:"free"`
}
