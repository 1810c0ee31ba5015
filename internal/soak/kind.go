package soak

// Kind is a kind of fault or planned work.
type Kind string

// The kinds. Those of processes name a process, those of paths a path.
const (
	// Kill ends a process with SIGKILL and starts it again afterwards.
	Kill Kind = "kill"
	// Terminate ends a process with SIGTERM and starts it again afterwards.
	Terminate Kind = "terminate"
	// Freeze stops a process with SIGSTOP and wakes it afterwards.
	Freeze Kind = "freeze"
	// Wipe kills a control process, empties its data folder and starts it again.
	Wipe Kind = "wipe"
	// Hang is SIGHUP: the settings are read anew.
	HangUp Kind = "hang-up"
	// Delay holds all bytes of a path back for a while each.
	Delay Kind = "delay"
	// Reset resets the open connections of a path.
	Reset Kind = "reset"
	// Silence loses the bytes of a path's open connections for good.
	Blackhole Kind = "silence"
	// Refuse closes each new connection of a path.
	Refuse Kind = "refuse"
	// Cut lets nothing pass on a path, CutTowards nothing from the side that
	// connects, CutBack nothing to it.
	Partition        Kind = "cut"
	PartitionTowards Kind = "cut-towards"
	PartitionBack    Kind = "cut-back"
	// SlowDisk delays each durable write of a control process, FullDisk fails
	// them. SlowClock and FastClock change the speed of a process's clock. These
	// need a build whose clocks and disks can misbehave.
	SlowDisk  Kind = "slow-disk"
	FullDisk  Kind = "full-disk"
	SlowClock Kind = "slow-clock"
	FastClock Kind = "fast-clock"
	// Change puts another preset in force.
	ChangePreset Kind = "change"
	// TakeOut takes a data centre out, and back afterwards.
	TakeOutDataCentre Kind = "take-out"
)

// ofPath reports whether the kind changes a path.
func (k Kind) ofPath() bool {
	switch k {
	case Delay, Reset, Blackhole, Refuse, Partition, PartitionTowards, PartitionBack:
		return true
	default:
		return false
	}
}

// ofTrial reports whether the kind needs a build whose clocks and disks can
// misbehave.
func (k Kind) ofClockOrDisk() bool {
	switch k {
	case SlowDisk, FullDisk, SlowClock, FastClock:
		return true
	default:
		return false
	}
}

// planned reports whether the kind is an operator's work rather than a fault.
func (k Kind) planned() bool {
	switch k {
	case Terminate, HangUp, ChangePreset, TakeOutDataCentre:
		return true
	default:
		return false
	}
}
