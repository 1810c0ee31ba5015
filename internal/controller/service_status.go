package controller

// ServiceStatus counts the shards of a service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Shards   int    `json:"shards"`
	Granted  int    `json:"granted"`
	Revoking int    `json:"revoking"`
	Free     int    `json:"free"`
}
