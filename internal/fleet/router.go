package fleet

// Router is a router's registration in the view.
type Router struct {
	ID         RouterID
	Session    Session
	DataCentre DataCentre
	// Address is host:port where other routers reach its door.
	Address string
	// Upstream is the upstream beside the router; its name is empty if none
	// has announced itself.
	Upstream Upstream
	// Leaving is set once the router or its upstream has asked to stop.
	Leaving bool
}

// Serves reports whether the router stands beside an upstream of the service.
func (r Router) Serves(service string) bool {
	return r.Upstream.Name != "" && r.Upstream.Service == service
}
