package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"endivespring/internal/load"
)

// Load sends an open-loop load.
type Load struct {
	settings  load.Settings
	addresses string
	body      string
	output    output
}

// Name returns the subcommand's name.
func (*Load) Name() string { return "load" }

// Synopsis returns a one-line description.
func (*Load) Synopsis() string { return "send a load and measure it" }

// Usage returns the help text.
func (*Load) Usage() string {
	return `load --callers IP:PORT[,IP:PORT...] --service SERVICE --operation OPERATION
  Sends requests at a fixed rate and reports verdicts and latencies, counted
  from when each request was due.
  Example: endivespring load --callers 127.0.0.1:7101 --service timetable --operation lookup --keys 100 --rate 200 --duration 5s
`
}

// SetFlags declares the flags.
func (c *Load) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addresses, "callers", "", "caller addresses of routers, separated by commas")
	f.StringVar(&c.settings.Service, "service", "", "service")
	f.StringVar(&c.settings.Operation, "operation", "", "operation")
	f.IntVar(&c.settings.Keys, "keys", 0, "number of keys drawn from; 0 sends none")
	f.Float64Var(&c.settings.Rate, "rate", 100, "requests a second")
	f.DurationVar(&c.settings.Duration, "duration", 5*time.Second, "length of the run")
	f.DurationVar(&c.settings.Timeout, "timeout", 2*time.Second, "longest time for one request")
	f.IntVar(&c.settings.Workers, "workers", 256, "largest number of requests under way")
	f.Uint64Var(&c.settings.Seed, "seed", 1, "seed of the random choices")
	f.StringVar(&c.body, "body", "", "body of each request")
	c.output.declare(f)
}

// Execute runs the load.
func (c *Load) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.addresses == "" || c.settings.Service == "" || c.settings.Operation == "" {
		return usage("load needs --callers, --service and --operation")
	}
	c.settings.Addresses = strings.Split(c.addresses, ",")
	c.settings.Body = []byte(c.body)
	report, err := load.Run(ctx, c.settings)
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(report)
	}
	fmt.Fprintf(os.Stdout, "%s/%s seed %d: %d sent in %.1f s, verdicts %v, reasons %v, mismatched %d\n",
		report.Service, report.Operation, report.Seed, report.Sent, report.Seconds, report.Verdicts, report.Reasons, report.Mismatched)
	fmt.Fprintf(os.Stdout, "latency ms: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", report.P50, report.P99, report.P999, report.Max)
	return subcommands.ExitSuccess
}
