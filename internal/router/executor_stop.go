package router

// executorStop is a step towards the end of a door.
type executorStop uint8

const (
	// stopRetire asks for no new work, so that others learn to go elsewhere.
	stopRetire executorStop = iota
	// stopFinish lets what runs finish and takes nothing more.
	stopFinish
)
