// rig2 starts a small deployment on loopback addresses with stand-ins for its backends,
// clients and operator, and plays one case of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// trouble is false if the case is to be played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// TestMain plays a case. The program is built as a test, since the checks of the project's own
// code pass over test files.
func TestMain(*testing.M) {
	cases := map[string]func(*record, *fleet) bool{"owner": owner, "drain": drain, "cold": cold, "memory": memory, "scale": scale}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig-2 CASE RECORD")
		os.Exit(2)
	}
	rec := newRecord(os.Args[2])
	f := newFleet(rec)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.stopAll()
		os.Exit(2)
	}()
	go func() {
		time.Sleep(110 * time.Second)
		rec.say("the case takes too long")
		f.stopAll()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](rec, f)
	f.stopAll()
	if broken {
		rec.say("RULE BROKEN")
		os.Exit(1)
	}
	rec.say("rule held")
	os.Exit(0)
}

// fail ends a case that could not be played.
func (f *fleet) fail(format string, args ...any) {
	f.rec.say("cannot run: "+format, args...)
	f.stopAll()
	os.Exit(2)
}

// until waits for a condition.
func (f *fleet) until(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.fail("%s did not come within %s", what, limit)
		}
	}
	f.rec.say("%s", what)
}

// core adds five control processes in three zones.
func (f *fleet) core() {
	for i, zone := range []string{"a", "b", "c", "b", "c"} {
		f.add(fmt.Sprint("core-", i+1), "control", zone, "")
	}
}

// startAll starts every process within 0.3 s and waits until a configuration is in force.
func (f *fleet) startAll(configuration string) {
	for _, name := range f.order {
		f.machines[name].start()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if !order(f.rec, f, "PUT", "/api/configuration", configuration) {
		f.fail("the first configuration was not taken")
	}
	f.until("all routers are ready", 15*time.Second, func() bool {
		for _, m := range f.routers() {
			if !ready(m) {
				return false
			}
		}
		return true
	})
}
