package fleet

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share in proportion to the sum of the weights of the route's
	// targets.
	Weight int
}
