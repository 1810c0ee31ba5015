package settings

// FrontEnd says which interface towards others a process serves besides the
// project's own, or in place of it.
type FrontEnd struct {
	Name string `json:"name" kind:"name" doc:"Name of the front end; none if not given."`
	// Addresses are by what is served there.
	Caller   string `json:"caller" kind:"address" doc:"Address where a router's front end takes callers' requests."`
	Announce string `json:"announce" kind:"address" doc:"Address where a router's front end takes announcements of the upstream beside it."`
	Ready    string `json:"ready" kind:"address" doc:"Address where a router's front end says whether it takes work."`
	Operator string `json:"operator" kind:"address" doc:"Address where a control process's front end takes operators' requests."`
}
