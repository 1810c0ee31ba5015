package soak

// observation is an entry of the history. Exactly one field is set.
type observation struct {
	send       *Send
	command    *Command
	presetRead *PresetRead
	injected   *InjectedFault
}
