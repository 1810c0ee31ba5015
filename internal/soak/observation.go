package soak

// observation is one of what callers, operators and the injector saw.
type observation struct {
	send       *Send
	command    *Command
	presetRead *PresetRead
	injected   *InjectedFault
}
