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
	// DepartedBoot is the boot ID of the upstream that has announced its departure, or
	// empty. That boot gets no new work. It is replicated because a restarted router has
	// forgotten the departure and may receive an earlier announcement late.
	DepartedBoot string
	// LastDeparture is the latest departure that was announced to the router, also to an earlier
	// process of it, or to one that knew no upstream yet.
	LastDeparture Departure
	// EarlierStart is the StartMillis of the upstream that the router had registered under
	// its earlier session, or zero. A restarted router has forgotten it, and may receive a
	// heartbeat of an ended boot late.
	EarlierStart int64
	// TakesParts is set if the router's executor understands bodies of calls that follow in
	// parts. Those of an earlier build don't.
	TakesParts bool
}

// LatestStart returns the StartMillis of the latest upstream that was registered beside the
// router, or zero.
func (r *Router) LatestStart() int64 {
	if r.Upstream.Name != "" {
		return r.Upstream.StartMillis
	}
	return r.EarlierStart
}

// StartedEarlier reports whether an upstream started before the latest one that was
// registered beside the router.
func (r *Router) StartedEarlier(u *Upstream) bool { return u.StartedBefore(r.LatestStart()) }

// Departed reports whether the upstream beside the router has announced its departure.
func (r *Router) Departed() bool { return r.DepartedBoot != "" && r.DepartedBoot == r.Upstream.Boot }

// Serves reports whether an upstream of the service is announced beside the
// router.
func (r Router) Serves(service string) bool {
	return r.Upstream.Name != "" && r.Upstream.Service == service
}
