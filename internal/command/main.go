package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// Main runs the subcommand named on the command line and returns the exit code.
func Main() int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{&Control{}, &Router{}} {
		subcommands.Register(c, "processes")
	}
	for _, c := range []subcommands.Command{&Preset{}, &DataCentre{}, &Upstream{}, &Status{}, &Explain{}, &Check{}} {
		subcommands.Register(c, "operators")
	}
	for _, c := range []subcommands.Command{&Standin{}, &Load{}} {
		subcommands.Register(c, "tests and measurements")
	}
	flag.Parse()
	return int(subcommands.Execute(context.Background()))
}
