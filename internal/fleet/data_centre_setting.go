package fleet

// DataCentreSetting says whether operators have taken a data centre out.
type DataCentreSetting struct {
	Name DataCentre
	Out  bool
}
