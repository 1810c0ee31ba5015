package soak

// kindWeight is the relative frequency with which a kind is drawn.
type kindWeight struct {
	kind   Kind
	weight int
}
