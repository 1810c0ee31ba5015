package event

// Level is the severity of an event.
type Level uint8

const (
	// Info events record normal operation.
	Info Level = iota
	// Warn events record what an operator may need to check.
	Warn
	// Alarm events require action by an operator.
	Alarm
)

// String returns the level's name as in the reference page; log lines write
// alarm as "error".
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
