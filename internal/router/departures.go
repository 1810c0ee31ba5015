package router

import "endivespring/internal/fleet"

// maxDepartures is the number of departures that are remembered; all are forgotten beyond it.
const maxDepartures = 64

// departures holds when upstreams announced their departure, by name, in milliseconds since
// the Unix epoch. Their boots never come back, but heartbeats of them may arrive late.
type departures map[string]int64

func (d departures) record(departure fleet.Departure) {
	if departure.Name == "" || d[departure.Name] >= departure.Millis {
		return
	}
	if len(d) >= maxDepartures {
		clear(d)
	}
	d[departure.Name] = departure.Millis
}

// includes reports whether a boot had started when the upstream of its name departed.
func (d departures) includes(u *fleet.Upstream) bool {
	at, ok := d[u.Name]
	return ok && u.StartMillis <= at
}
