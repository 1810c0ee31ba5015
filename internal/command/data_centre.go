package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"endivespring/internal/operator"
)

// DataCentre takes a data centre out or back.
type DataCentre struct{ operatorFlags }

// Name returns the subcommand's name.
func (*DataCentre) Name() string { return "datacentre" }

// Synopsis returns a one-line description.
func (*DataCentre) Synopsis() string { return "take a data centre out or back" }

// Usage returns the help text.
func (*DataCentre) Usage() string {
	return `datacentre [flags] out NAME | in NAME
  Takes a data centre out, so that its upstreams get no new work, or back in.
  Example: endivespring datacentre out lodz
`
}

// SetFlags declares the flags.
func (c *DataCentre) SetFlags(f *flag.FlagSet) { c.setChange(f) }

// Execute runs the command.
func (c *DataCentre) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out, ok := outOrIn(f)
	if !ok {
		return usage("datacentre needs out NAME or in NAME")
	}
	return c.change(operator.ChangeBody{DataCentre: f.Arg(1), Out: out})
}

// outOrIn reads the arguments "out NAME" or "in NAME".
func outOrIn(f *flag.FlagSet) (out, ok bool) {
	ok = f.NArg() == 2 && f.Arg(1) != "" && (f.Arg(0) == "out" || f.Arg(0) == "in")
	return f.Arg(0) == "out", ok
}
