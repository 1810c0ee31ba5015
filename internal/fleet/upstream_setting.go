package fleet

// UpstreamSetting says whether operators have taken an upstream out.
type UpstreamSetting struct {
	Name string
	Out  bool
}
