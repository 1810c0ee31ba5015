// Package cases plays the cases of the review: it starts the project's programs with
// stand-ins for backends, clients and the operator, and checks one rule. It is built as a
// test program, whose arguments are the name of a case, the repository and the record.
package cases

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// timeLimit is how long a case may run.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// env is what a case runs in.
type env struct {
	root    string
	record  *record
	trouble bool
}

var cases = map[string]func(*env) (int, error){}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases NAME REPOSITORY RECORD")
		os.Exit(cannot)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannot)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	e := &env{root: os.Args[2], record: r, trouble: os.Getenv("TROUBLE") != "0"}
	r.say("case %s, trouble: %v", os.Args[1], e.trouble)
	time.AfterFunc(timeLimit, func() {
		r.say("the case could not run: not done after %s", timeLimit)
		os.Exit(cannot) // the processes of the fleet end with this one
	})
	code, err := play(e)
	if err != nil {
		r.say("the case could not run: %v", err)
		code = cannot
	}
	r.say("exit %d", code)
	r.close()
	os.Exit(code)
}
