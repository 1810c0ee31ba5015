package command

import "runtime/debug"

// heapShare is the share of a process's memory that the garbage collector keeps to. The rest
// is for the program itself, and for what is allocated while a collection runs.
const heapShare = 0.5

// limitMemory makes the garbage collector run once the heap has grown by a percentage of what
// is in use, and keep to a share of the memory that the process may use, in MB. Zero MB set no
// limit.
func limitMemory(megabytes float64, gcPercent int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * megabytes * (1 << 20)))
	}
}
