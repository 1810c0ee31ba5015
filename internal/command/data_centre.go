package command

import (
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// DataCentre takes a data centre out of service or returns it.
type DataCentre struct{ serviceStateFlags }

// Name returns the subcommand's name.
func (*DataCentre) Name() string { return "datacentre" }

// Synopsis returns a one-line description.
func (*DataCentre) Synopsis() string { return "take a data centre out of service or return it" }

// Usage returns the help text.
func (*DataCentre) Usage() string {
	return `datacentre [flags] out NAME | in NAME
  Takes a data centre out of service, so that its upstreams get no new work, or
  returns it to service. A name that no router of the fleet has is refused,
  unless --force is set.
  Example: endivespring datacentre out lodz
`
}

// SetFlags declares the flags.
func (c *DataCentre) SetFlags(f *flag.FlagSet) { c.declareServiceState(f) }

// Execute runs the command.
func (c *DataCentre) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, out, ok := c.parseServiceState(f)
	if !ok {
		return usageError("datacentre needs out NAME or in NAME")
	}
	known := func(s *controller.Status) bool {
		return slices.Contains(s.DataCentresOut, name) ||
			slices.ContainsFunc(s.Routers, func(r controller.RouterStatus) bool { return r.DataCentre == name })
	}
	return c.setServiceState(name, known, operator.ChangeBody{DataCentre: name, Out: out})
}
