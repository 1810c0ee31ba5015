package soak

// weight is how often a kind is drawn, in proportion to the sum of all.
type kindWeight struct {
	kind   Kind
	weight int
}
