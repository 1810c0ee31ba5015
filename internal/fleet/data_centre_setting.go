package fleet

// DataCentreSetting tells whether operators have taken a data centre out of
// service.
type DataCentreSetting struct {
	Name DataCentre
	Out  bool
}
