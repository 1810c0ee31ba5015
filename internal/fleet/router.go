package fleet

// Router is a router's registration in the view.
type Router struct {
	ID         RouterID
	Session    Session
	DataCentre DataCentre
	// Address is the host:port at which other routers reach this router's
	// executor.
	Address string
	// Upstream is the upstream beside the router. Its name is empty if none has
	// announced itself.
	Upstream Upstream
	// Leaving is set once the router or its upstream has announced that it will
	// stop.
	Leaving bool
}

// Serves reports whether an upstream of the service is announced beside the
// router.
func (r Router) Serves(service string) bool {
	return r.Upstream.Name != "" && r.Upstream.Service == service
}
