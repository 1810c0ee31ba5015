package settings

// FrontEnd configures an interface that a process serves in addition to the
// project's own, or instead of it.
type FrontEnd struct {
	Name     string `json:"name" kind:"name" doc:"Name of the front end; no front end if not set."`
	Caller   string `json:"caller" kind:"address" doc:"Address at which a router's front end accepts callers' requests."`
	Announce string `json:"announce" kind:"address" doc:"Address at which a router's front end accepts announcements of the upstream beside the router."`
	Ready    string `json:"ready" kind:"address" doc:"Address at which a router's front end serves its readiness for work."`
	Operator string `json:"operator" kind:"address" doc:"Address at which a control process's front end accepts operators' requests."`
}
