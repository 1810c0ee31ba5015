package event

// Level is how urgent an event is.
type Level uint8

const (
	// Info events record ordinary decisions.
	Info Level = iota
	// Warn events record something an operator may want to look at.
	Warn
	// Alarm events ask an operator to act.
	Alarm
)

// String returns the level's name.
func (l Level) String() string {
	switch l {
	case Info:
		return "info"
	case Warn:
		return "warn"
	default:
		return "alarm"
	}
}
