package soak

// weight is how often a kind is drawn, in proportion to the sum of all.
type weight struct {
	kind  Kind
	share int
}
