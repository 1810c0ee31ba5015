package fleet

// UpstreamSetting tells whether operators have taken an upstream out of
// service.
type UpstreamSetting struct {
	Name string
	Out  bool
}
