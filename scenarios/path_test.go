package scenarios

import (
	"context"
	"path"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/relay"
)

// pathName names the path from one process to another. Paths between routers
// are named from "routers", since all dial a router by one address.
type pathName struct{ from, to string }

// relayed returns the address by which one process reaches another: a new
// relay's, or the target itself if the scenario asked for no relays.
func (f *fleet) relayed(ts *testscript.TestScript, from, to, target string) string {
	if !f.relaying || from == to {
		return target
	}
	r, err := relay.New(context.Background(), target)
	ts.Check(err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays[pathName{from, to}] = r
	return r.Address()
}

// cmdPath changes paths of a fleet written by "fleet relayed ...":
// path cut|hold|silence|delay|heal FROM TO [TIME]
// FROM and TO are patterns of process names, FROM also "routers"; paths between
// them in either direction change. cut refuses connections and closes open
// ones; hold lets no byte pass and leaves them open; silence loses all bytes of
// the connections open now for good while new ones work; delay holds each byte
// back for TIME; heal ends cut, hold and delay.
func cmdPath(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: path cut|hold|silence|delay|heal FROM TO [TIME]")
	}
	f, changed := fleetOf(ts), 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range f.relays {
		if !joins(name, args[1], args[2]) && !joins(name, args[2], args[1]) {
			continue
		}
		changed++
		changePath(ts, r, args)
	}
	if changed == 0 {
		ts.Fatalf("no path between %s and %s", args[1], args[2])
	}
	ts.Logf("%s: %s", time.Now().Format(time.StampMilli), strings.Join(args, " "))
}

func joins(name pathName, from, to string) bool {
	matchedFrom, _ := path.Match(from, name.from)
	matchedTo, _ := path.Match(to, name.to)
	return matchedFrom && matchedTo
}

func changePath(ts *testscript.TestScript, r *relay.Relay, args []string) {
	switch args[0] {
	case "cut":
		r.Set(relay.Condition{Refuse: true})
		r.Reset()
	case "hold":
		r.Set(relay.Condition{Towards: relay.Hold, Back: relay.Hold})
	case "silence":
		r.Silence()
	case "delay":
		delay, err := time.ParseDuration(args[3])
		ts.Check(err)
		r.Set(relay.Condition{Delay: delay})
	case "heal":
		r.Set(relay.Condition{})
	default:
		ts.Fatalf("unknown change of a path: %s", args[0])
	}
}
