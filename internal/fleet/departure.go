package fleet

// Departure is the announcement of an upstream that it has left. Its boots that had started by
// then never come back, but heartbeats of them may arrive late. The zero value is none.
type Departure struct {
	// Name is that of the upstream.
	Name string
	// Millis is when it was announced, by the clock of the upstream's VM, in milliseconds since
	// the Unix epoch.
	Millis int64
}

// Includes reports whether a departure means the same or an earlier one of the same upstream.
func (d Departure) Includes(other Departure) bool {
	return d.Name == other.Name && d.Millis >= other.Millis
}

// Later returns the later of two departures.
func (d Departure) Later(other Departure) Departure {
	if other.Millis > d.Millis {
		return other
	}
	return d
}
