package caller

// phase is what a caller's connection is in use for.
type phase int32

const (
	// phaseIdle: no byte of the next request has arrived.
	phaseIdle phase = iota
	phaseReading
	// phaseRunning: the request was read and its answer is awaited.
	phaseRunning
	phaseWriting
	// phaseGivenUp: its memory was given to others. It serves no further request.
	phaseGivenUp
)

// phaseBits is how many bits of a phaseWord the phase takes.
const phaseBits = 3
