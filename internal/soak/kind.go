package soak

// Kind is a kind of fault or of planned operation.
type Kind string

// The kinds. The target is a process, a path, a data centre or a preset, depending
// on the kind.
const (
	// Kill sends SIGKILL to a process and restarts it at the end.
	Kill Kind = "kill"
	// Terminate sends SIGTERM to a process and restarts it at the end.
	Terminate Kind = "terminate"
	// Freeze suspends a process with SIGSTOP and resumes it at the end.
	Freeze Kind = "freeze"
	// Wipe kills a control process, empties its data folder and restarts it at the
	// end.
	Wipe Kind = "wipe"
	// HangUp sends SIGHUP to a process, which reloads its settings.
	HangUp Kind = "hang-up"
	// Delay adds latency to a path.
	Delay Kind = "delay"
	// Reset resets the open connections of a path.
	Reset Kind = "reset"
	// Blackhole drops all further bytes of a path's open connections; new ones work.
	Blackhole Kind = "silence"
	// Refuse closes each new connection of a path at once.
	Refuse Kind = "refuse"
	// Partition blocks a path in both directions. The asymmetric PartitionTowards
	// blocks only bytes from the side that connects, PartitionBack only bytes to it.
	Partition        Kind = "cut"
	PartitionTowards Kind = "cut-towards"
	PartitionBack    Kind = "cut-back"
	// SlowDisk delays each sync of a control process, FullDisk makes its writes
	// fail. SlowClock and FastClock change the rate of a process's clock. These four
	// need a build with the tag faults.
	SlowDisk  Kind = "slow-disk"
	FullDisk  Kind = "full-disk"
	SlowClock Kind = "slow-clock"
	FastClock Kind = "fast-clock"
	// ChangePreset makes an operator put another preset in force.
	ChangePreset Kind = "change"
	// TakeOutDataCentre makes an operator take a data centre out of service and
	// return it to service at the end.
	TakeOutDataCentre Kind = "take-out"
)

// ofPath reports whether the kind applies to a path.
func (k Kind) ofPath() bool {
	switch k {
	case Delay, Reset, Blackhole, Refuse, Partition, PartitionTowards, PartitionBack:
		return true
	default:
		return false
	}
}

// ofClockOrDisk reports whether the kind needs a build with fault injection for
// clocks and disks (tag faults).
func (k Kind) ofClockOrDisk() bool {
	switch k {
	case SlowDisk, FullDisk, SlowClock, FastClock:
		return true
	default:
		return false
	}
}

// planned reports whether the kind is a planned operation rather than a fault.
func (k Kind) planned() bool {
	switch k {
	case Terminate, HangUp, ChangePreset, TakeOutDataCentre:
		return true
	default:
		return false
	}
}
