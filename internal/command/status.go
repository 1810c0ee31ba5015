package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/samber/lo"

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
  Shows the preset in force, routers that have not yet applied it, control
  processes, data centres, shards and upstreams.
  Example: endivespring status --output json
`
}

// SetFlags declares the flags.
func (c *Status) SetFlags(f *flag.FlagSet) { c.declare(f) }

// Execute runs the command.
func (c *Status) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return usageError("status takes no arguments")
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	status, err := client.Status()
	if err != nil {
		return fail(err)
	}
	report := &statusReport{Status: status, Processes: client.Processes()}
	if c.output == outputJSON {
		return printJSON(report)
	}
	printStatus(os.Stdout, report)
	return subcommands.ExitSuccess
}

func printStatus(out io.Writer, s *statusReport) {
	if s.Preset == "" {
		fmt.Fprint(out, "no preset yet")
	} else {
		fmt.Fprintf(out, "preset %s (version %d)", s.Preset, s.PresetVersion)
	}
	fmt.Fprintf(out, ", config version %d, view %d: in force at %d of %d routers\n", s.ConfigVersion, s.ViewVersion, s.RoutersUpToDate, len(s.Routers))
	printList(out, "not yet at", s.RoutersBehind)
	printList(out, "may still work under an older version", s.RoutersWorkingOnOlder)
	printList(out, "data centres out", s.DataCentresOut)
	printList(out, "upstreams out", s.UpstreamsOut)
	fmt.Fprintf(out, "control: leader %s, term %d, voters %s\n", s.Leader, s.Term, strings.Join(s.Voters, ", "))
	printList(out, "control processes that catch up", s.Learners)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, table := range []func(io.Writer, *statusReport){printProcesses, printDataCentres, printServices, printRouters} {
		fmt.Fprintln(w)
		table(w, s)
		_ = w.Flush()
	}
}

func printList(out io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(out, "%s: %s\n", title, strings.Join(names, ", "))
	}
}

func printProcesses(w io.Writer, s *statusReport) {
	fmt.Fprintln(w, "CONTROL\tSTATE\tTERM\tCOMMITTED")
	for _, p := range s.Processes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", p.Address, p.State, p.Term, p.Commit)
	}
}

func printDataCentres(w io.Writer, s *statusReport) {
	byCentre := lo.GroupBy(s.Routers, func(r controller.RouterStatus) string { return r.DataCentre })
	names := lo.Uniq(append(lo.Keys(byCentre), s.DataCentresOut...))
	slices.Sort(names)
	fmt.Fprintln(w, "DATA CENTRE\tSTATE\tROUTERS\tREADY\tSHARDS")
	for _, name := range names {
		state := "in"
		if slices.Contains(s.DataCentresOut, name) {
			state = "out"
		}
		routers := byCentre[name]
		ready := lo.CountBy(routers, func(r controller.RouterStatus) bool { return r.State == "ready" })
		shards := lo.SumBy(routers, func(r controller.RouterStatus) int { return r.Shards })
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", name, state, len(routers), ready, shards)
	}
}

func printServices(w io.Writer, s *statusReport) {
	fmt.Fprintln(w, "SERVICE\tSHARDS\tGRANTED\tREVOKING\tFREE")
	for _, service := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", service.Service, service.Shards, service.Granted, service.Revoking, service.Free)
	}
}

func printRouters(w io.Writer, s *statusReport) {
	fmt.Fprintln(w, "ROUTER\tDATA CENTRE\tUPSTREAM\tSERVICE\tSTATE\tSHARDS\tVIEW")
	for _, r := range s.Routers {
		view := fmt.Sprint(r.Applied)
		if slices.Contains(s.RoutersBehind, r.Router) {
			view += " (behind)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Router, r.DataCentre, r.Upstream, r.Service, r.State, r.Shards, view)
	}
}
