package command

import (
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// Upstream takes an upstream out of service or returns it.
type Upstream struct{ serviceStateFlags }

// Name returns the subcommand's name.
func (*Upstream) Name() string { return "upstream" }

// Synopsis returns a one-line description.
func (*Upstream) Synopsis() string { return "take an upstream out of service or return it" }

// Usage returns the help text.
func (*Upstream) Usage() string {
	return `upstream [flags] out NAME | in NAME
  Takes an upstream out of service, so that it gets no new work, or returns it to
  service. A name that no upstream of the fleet has now is refused, unless
  --force is set.
  Example: endivespring upstream out reservations-3
`
}

// SetFlags declares the flags.
func (c *Upstream) SetFlags(f *flag.FlagSet) { c.declareServiceState(f) }

// Execute runs the command.
func (c *Upstream) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, out, ok := c.parseServiceState(f)
	if !ok {
		return usageError("upstream needs out NAME or in NAME")
	}
	known := func(s *controller.Status) bool {
		return slices.Contains(s.UpstreamsOut, name) ||
			slices.ContainsFunc(s.Routers, func(r controller.RouterStatus) bool { return r.Upstream == name })
	}
	return c.setServiceState(name, known, operator.ChangeBody{Upstream: name, Out: out})
}
