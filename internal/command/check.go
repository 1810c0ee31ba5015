package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"endivespring/internal/settings"
)

// Check checks a settings file and shows what a process would run with.
type Check struct{}

// Name returns the subcommand's name.
func (*Check) Name() string { return "check" }

// Synopsis returns a one-line description.
func (*Check) Synopsis() string { return "check a settings file and show what it means" }

// Usage returns the help text.
func (*Check) Usage() string {
	return `check control FILE | router FILE | operator FILE
  Checks a settings file and prints it with all defaults filled in.
  Example: endivespring check router router-1.json
`
}

// SetFlags declares the flags.
func (*Check) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (*Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kinds := map[string]any{"control": &settings.Control{}, "router": &settings.Router{}, "operator": &settings.Operator{}}
	target, ok := kinds[f.Arg(0)]
	if f.NArg() != 2 || !ok {
		return usage("check needs control FILE, router FILE or operator FILE")
	}
	if err := settings.Read(f.Arg(1), target); err != nil {
		return fail(err)
	}
	return printJSON(target)
}
