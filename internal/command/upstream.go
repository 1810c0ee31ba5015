package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"endivespring/internal/operator"
)

// Upstream takes an upstream out or back.
type Upstream struct{ operatorFlags }

// Name returns the subcommand's name.
func (*Upstream) Name() string { return "upstream" }

// Synopsis returns a one-line description.
func (*Upstream) Synopsis() string { return "take an upstream out or back" }

// Usage returns the help text.
func (*Upstream) Usage() string {
	return `upstream [flags] out NAME | in NAME
  Takes an upstream out, so that it gets no new work, or back in.
  Example: endivespring upstream out reservations-3
`
}

// SetFlags declares the flags.
func (c *Upstream) SetFlags(f *flag.FlagSet) { c.setChange(f) }

// Execute runs the command.
func (c *Upstream) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out, ok := outOrIn(f)
	if !ok {
		return usage("upstream needs out NAME or in NAME")
	}
	return c.change(operator.ChangeBody{Upstream: f.Arg(1), Out: out})
}
