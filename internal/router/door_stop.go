package router

// doorStop is a step towards the end of a door.
type doorStop uint8

const (
	// stopRetire asks for no new work, so that others learn to go elsewhere.
	stopRetire doorStop = iota
	// stopFinish lets what runs finish and takes nothing more.
	stopFinish
)
