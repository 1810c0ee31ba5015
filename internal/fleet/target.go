package fleet

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share in proportion to the sum of the route's weights.
	Weight int
}
