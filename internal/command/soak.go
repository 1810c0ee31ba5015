package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/settings"
	"endivespring/internal/soak"
)

const (
	soakFolderMode = 0o750
	soakFileMode   = 0o640
)

// errNoFaultInjection means that a plan has faults that this build cannot inject.
var errNoFaultInjection = eris.New("the plan needs a build with clock and disk faults: go build -tags faults")

var errInvariantViolated = eris.New("an invariant was violated")

// Soak runs fleets of processes under random faults.
type Soak struct {
	plan   soak.Plan
	length time.Duration
	seeds  int
	replay string
	shrink bool
	folder string
	keep   bool
	output output
}

// Name returns the subcommand's name.
func (*Soak) Name() string { return "soak" }

// Synopsis returns a one-line description.
func (*Soak) Synopsis() string { return "run a fleet under random faults and check its invariants" }

// Usage returns the help text.
func (*Soak) Usage() string {
	return `soak [flags]
  Runs control processes, routers and stand-ins on this machine, injects faults
  chosen by a seed and checks what callers, operators and upstreams see. Plan,
  report, plot and logs of each run that violates an invariant are kept in
  --folder.
  Example: endivespring soak --seed 7 --seeds 50
  Example: endivespring soak --replay soak/7/plan.json --shrink
`
}

// SetFlags declares the flags.
func (c *Soak) SetFlags(f *flag.FlagSet) {
	f.Int64Var(&c.plan.Seed, "seed", 0, "seed of the first run; a new one if not set")
	f.IntVar(&c.seeds, "seeds", 1, "number of runs, each with the next seed")
	f.DurationVar(&c.length, "length", 20*time.Second, "time for which requests are sent in each run")
	f.IntVar(&c.plan.Controls, "controls", 3, "number of control processes; must be odd")
	f.IntVar(&c.plan.Routers, "routers", 6, "number of routers, each with a stand-in")
	f.Float64Var(&c.plan.Rate, "rate", 150, "requests per second")
	f.StringVar(&c.replay, "replay", "", "plan `file` to run again instead of random faults")
	f.BoolVar(&c.shrink, "shrink", false, "remove faults from a plan that violates an invariant while the violation remains")
	f.StringVar(&c.folder, "folder", "soak", "`folder` for the files of the runs")
	f.BoolVar(&c.keep, "keep", false, "keep the files of all runs")
	c.output.declare(f)
}

// Execute runs the plans.
func (c *Soak) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	plans, err := c.plans()
	if err != nil {
		return usageError("%v", err)
	}
	var reports []*soak.Report
	violated := false
	for _, plan := range plans {
		report, err := c.run(ctx, plan)
		if ctx.Err() != nil {
			return fail(eris.Wrap(cmp.Or(err, ctx.Err()), "interrupted"))
		}
		if err != nil {
			return fail(err)
		}
		c.printProgress(report)
		reports = append(reports, report)
		violated = violated || len(report.Violations) > 0
		if len(report.Violations) > 0 && c.shrink {
			if err := c.shrinkPlan(ctx, report); err != nil {
				return fail(err)
			}
		}
	}
	if c.output == outputJSON {
		if status := printJSON(reports); status != subcommands.ExitSuccess {
			return status
		}
	} else {
		printSoak(reports)
	}
	if violated {
		return fail(errInvariantViolated)
	}
	return subcommands.ExitSuccess
}

// plans returns the plans to run: the one of --replay, or one per seed.
func (c *Soak) plans() ([]*soak.Plan, error) {
	if c.replay != "" {
		var plan soak.Plan
		err := settings.Read(c.replay, &plan)
		if err == nil && plan.ClockDiskFaults && !faultsBuilt {
			err = errNoFaultInjection
		}
		return []*soak.Plan{&plan}, err
	}
	if c.plan.Seed == 0 {
		c.plan.Seed = time.Now().UnixNano() % 1_000_000_000 // short enough to be typed again
	}
	c.plan.Length, c.plan.ClockDiskFaults = settings.Duration(c.length), faultsBuilt
	var plans []*soak.Plan
	for i := range c.seeds {
		plan := c.plan
		plan.Seed += int64(i)
		soak.Draw(&plan)
		if problems := plan.Check(); len(problems) > 0 {
			return nil, problems
		}
		plans = append(plans, &plan)
	}
	return plans, nil
}

// run runs one plan in a new folder, which is kept if an invariant was violated.
func (c *Soak) run(ctx context.Context, plan *soak.Plan) (*soak.Report, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "find own executable")
	}
	if err := os.MkdirAll(c.folder, soakFolderMode); err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	folder, err := os.MkdirTemp(c.folder, strconv.FormatInt(plan.Seed, 10)+"-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	report, err := soak.Run(ctx, plan, folder, binary)
	if err == nil && len(report.Violations) == 0 && !c.keep {
		err = eris.Wrap(os.RemoveAll(folder), "remove folder")
	}
	return report, err
}

// shrinkPlan searches for a plan with fewer faults that still violates an
// invariant and writes it to the folder of the run.
func (c *Soak) shrinkPlan(ctx context.Context, report *soak.Report) error {
	plan, err := soak.Shrink(report.Plan, func(smaller *soak.Plan) (bool, error) {
		again, err := c.run(ctx, smaller)
		if err != nil || ctx.Err() != nil {
			return false, eris.Wrap(err, "shrink")
		}
		c.printProgress(again)
		return len(again.Violations) > 0, nil
	})
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode plan")
	}
	path := filepath.Join(report.Folder, "shrunk.json")
	fmt.Fprintf(os.Stderr, "%d of %d faults are left in %s\n", len(plan.Faults), len(report.Plan.Faults), path)
	return eris.Wrap(os.WriteFile(path, data, soakFileMode), "write plan")
}

func (c *Soak) printProgress(r *soak.Report) {
	fmt.Fprintf(os.Stderr, "seed %d: %d faults, %d of %d served, %d invariants violated\n", r.Plan.Seed, len(r.Plan.Faults), r.Served, r.Sent, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(os.Stderr, "  %s: %s (%s)\n", v.Invariant, v.Detail, r.Folder)
	}
}

func printSoak(reports []*soak.Report) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "SEED\tFAULTS\tSENT\tSERVED\tREFUSED\tUNKNOWN\tEXECUTIONS\tCOMMANDS\tREADS\tP50 MS\tP99 MS\tMAX MS\tVIOLATED\t")
	for _, r := range reports {
		violated := map[string]bool{}
		for _, v := range r.Violations {
			violated[v.Invariant] = true
		}
		names := make([]string, 0, len(violated))
		for name := range violated {
			names = append(names, name)
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f\t%s\t\n", r.Plan.Seed, len(r.Plan.Faults), r.Sent, r.Served,
			r.Refused, r.Unknown, r.Executions, r.Commands, r.PresetReads, r.P50, r.P99, r.Max, strings.Join(names, " "))
	}
	_ = w.Flush()
}
