package scenarios

import (
	"context"
	"path"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"endivespring/internal/relay"
)

// pathName names the path from one process to another. Paths between routers start
// at "routers", since all routers dial the one address that a router advertises.
type pathName struct{ from, to string }

// dialAddress returns the address at which one process dials another: that of a new
// relay, or the target itself in a fleet without relays.
func (f *fleet) dialAddress(ts *testscript.TestScript, from, to, target string) string {
	if !f.useRelays || from == to {
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
// FROM and TO are patterns of process names, FROM may be "routers"; paths in both
// directions change. cut refuses connections and closes open ones; hold passes no
// bytes but leaves connections open; silence drops all bytes of the connections open
// now, for good, while new ones work; delay delays each byte by TIME; heal ends cut,
// hold and delay.
func cmdPath(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: path cut|hold|silence|delay|heal FROM TO [TIME]")
	}
	f, changed := fleetOf(ts), 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, r := range f.relays {
		if !matchesPath(name, args[1], args[2]) && !matchesPath(name, args[2], args[1]) {
			continue
		}
		changed++
		changePath(ts, r, args)
	}
	if changed == 0 {
		ts.Fatalf("no relayed path between %s and %s", args[1], args[2])
	}
	ts.Logf("%s: %s", time.Now().Format(time.StampMilli), strings.Join(args, " "))
}

func matchesPath(name pathName, from, to string) bool {
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
		r.Set(relay.Condition{ToTarget: relay.Hold, ToClient: relay.Hold})
	case "silence":
		r.BlackholeOpen()
	case "delay":
		delay, err := time.ParseDuration(args[3])
		ts.Check(err)
		r.Set(relay.Condition{Delay: delay})
	case "heal":
		r.Set(relay.Condition{})
	default:
		ts.Fatalf("unknown subcommand: path %s", args[0])
	}
}
