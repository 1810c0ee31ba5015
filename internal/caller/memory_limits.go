package caller

import "endivespring/internal/memory"

// MemoryLimits is what a front end's connections may use at the same time.
type MemoryLimits struct {
	// MaxConnections is the largest number of open connections.
	MaxConnections int
	// MaxBody is the largest body of a request unless the configuration sets one.
	MaxBody int
	// Connections covers buffers and the first 64 KiB of the body or answer of each connection,
	// Bodies the rest of bodies, Answers the rest of answers.
	Connections, Bodies, Answers *memory.Budget
	// Reader is the size of the front end's read buffer, ReaderBytes if zero.
	Reader int
	// FirstReads lets the first read of each request overdraw Connections, so that a request that
	// arrives at once is served beside others that stop short. MaxConnections must be small.
	FirstReads bool
	// Buffers makes the buffers of large bodies, which count for Bodies. It is only used with a
	// StreamListener.
	Buffers *memory.Buffers
}
