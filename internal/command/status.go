package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"endivespring/internal/controller"
)

// Status shows the state of the fleet.
type Status struct{ operatorFlags }

// Name returns the subcommand's name.
func (*Status) Name() string { return "status" }

// Synopsis returns a one-line description.
func (*Status) Synopsis() string { return "show the state of the fleet" }

// Usage returns the help text.
func (*Status) Usage() string {
	return `status [flags]
  Shows the preset in force and where it is not yet, data centres, upstreams,
  shards and control processes.
  Example: endivespring status --output json
`
}

// SetFlags declares the flags.
func (c *Status) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute runs the command.
func (c *Status) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	status, err := client.Status()
	if err != nil {
		return fail(err)
	}
	if c.output == "json" {
		return printJSON(status)
	}
	printStatus(status)
	return subcommands.ExitSuccess
}

func printStatus(s *controller.Status) {
	fmt.Fprintf(os.Stdout, "preset %s (version %d), config version %d, view %d: in force at %d of %d routers\n",
		s.Preset, s.PresetAt, s.Config, s.View, s.InForce, len(s.Routers))
	if len(s.Behind) > 0 {
		fmt.Fprintf(os.Stdout, "not yet at: %s\n", strings.Join(s.Behind, ", "))
	}
	if len(s.Working) > 0 {
		fmt.Fprintf(os.Stdout, "may still work under an older version: %s\n", strings.Join(s.Working, ", "))
	}
	if len(s.CentresOut) > 0 {
		fmt.Fprintf(os.Stdout, "data centres out: %s\n", strings.Join(s.CentresOut, ", "))
	}
	fmt.Fprintf(os.Stdout, "control: leader %s, term %d, voters %s\n", s.Leader, s.Term, strings.Join(s.Voters, ", "))
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSHARDS\tGRANTED\tREVOKING\tFREE")
	for _, service := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", service.Service, service.Shards, service.Granted, service.Revoking, service.Free)
	}
	fmt.Fprintln(w, "ROUTER\tDATA CENTRE\tUPSTREAM\tSERVICE\tSTATE\tSHARDS\tVIEW")
	for _, r := range s.Routers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.Router, r.DataCentre, r.Upstream, r.Service, r.State, r.Shards, r.Applied)
	}
	_ = w.Flush()
}
