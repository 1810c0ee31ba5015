package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"endivespring/internal/operator"
	"endivespring/internal/preset"
)

// Preset checks preset files and puts them in force.
type Preset struct{ operatorFlags }

// Name returns the subcommand's name.
func (*Preset) Name() string { return "preset" }

// Synopsis returns a one-line description.
func (*Preset) Synopsis() string { return "validate a preset or put it in force" }

// Usage returns the help text.
func (*Preset) Usage() string {
	return `preset [flags] validate FILE | apply FILE
  Checks a preset file, or puts it in force everywhere.
  Example: endivespring preset --settings operator.json apply ordinary.json
`
}

// SetFlags declares the flags.
func (c *Preset) SetFlags(f *flag.FlagSet) { c.setChange(f) }

// Execute runs the command.
func (c *Preset) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || (f.Arg(0) != "validate" && f.Arg(0) != "apply") {
		return usage("preset needs validate FILE or apply FILE")
	}
	checked, err := preset.Read(f.Arg(1))
	if err != nil {
		return fail(err)
	}
	if f.Arg(0) == "validate" {
		fmt.Fprintf(os.Stdout, "preset %s is valid: %d services\n", checked.Name, len(checked.Services))
		return subcommands.ExitSuccess
	}
	data, err := os.ReadFile(f.Arg(1))
	if err != nil {
		return fail(err)
	}
	return c.change(operator.ChangeBody{Preset: data})
}
