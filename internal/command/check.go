package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"endivespring/internal/preset"
	"endivespring/internal/settings"
)

// Check validates a settings or preset file and prints it with its defaults.
type Check struct{}

// Name returns the subcommand's name.
func (*Check) Name() string { return "check" }

// Synopsis returns a one-line description.
func (*Check) Synopsis() string {
	return "validate a settings or preset file and print it with defaults"
}

// Usage returns the help text.
func (*Check) Usage() string {
	return `check control FILE | router FILE | operator FILE | preset FILE
  Validates a file and prints it as JSON with all defaults filled in. It does not
  check the token file, the data folder or whether addresses can be reached.
  Example: endivespring check router router-1.json
`
}

// SetFlags declares the flags.
func (*Check) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (c *Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kinds := map[string]any{
		"control": &settings.Control{}, "router": &settings.Router{}, "operator": &settings.Operator{}, "preset": &preset.File{},
	}
	target, ok := kinds[f.Arg(0)]
	if f.NArg() != 2 || !ok {
		return usageError("check needs control FILE, router FILE, operator FILE or preset FILE")
	}
	if err := settings.Read(f.Arg(1), target); err != nil {
		return fail(err)
	}
	return printJSON(target)
}
