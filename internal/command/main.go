package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

const exitCodes = `Exit codes: 0 done, 1 failed and nothing was changed, 2 usage error,
3 refused and nothing was changed, 4 outcome unknown: resend with the same
--command-id to learn it, 5 accepted, but --wait ended before it was in force
everywhere.
Flags may be given before or after a subcommand's other arguments.
`

// Main runs the subcommand given on the command line and returns the exit code.
// The settings of processes may refer to the front ends by name.
func Main(frontEnds ...FrontEnd) int {
	commander := newCommander(frontEnds)
	if err := commander.flags.Parse(os.Args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(context.Background()))
}

// groups returns all subcommands by group.
func groups(frontEnds []FrontEnd) []group {
	return []group{
		{"processes", []subcommands.Command{&Control{frontEnds: frontEnds}, &Router{frontEnds: frontEnds}}},
		{"operators", []subcommands.Command{&Preset{}, &DataCentre{}, &Upstream{}, &Status{}, &Explain{}, &ExplainWhere{}, &Check{}, &Reference{}}},
		{"tests and measurements", []subcommands.Command{&Standin{}, &Load{}, &Soak{}}},
	}
}

func newCommander(frontEnds []FrontEnd) *commander {
	flags := flag.NewFlagSet("endivespring", flag.ContinueOnError)
	c := &commander{Commander: subcommands.NewCommander(flags, "endivespring"), flags: flags}
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, g := range groups(frontEnds) {
		for _, command := range g.commands {
			c.Register(command, g.name)
		}
	}
	explain := c.Explain
	c.Explain = func(w io.Writer) {
		explain(w)
		fmt.Fprint(w, exitCodes)
	}
	return c
}
