package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/loadgen"
)

// Load generates an open-loop load.
type Load struct {
	settings  loadgen.Settings
	addresses string
	service   string
	operation string
	mix       string
	body      string
	output    output
}

// Name returns the subcommand's name.
func (*Load) Name() string { return "load" }

// Synopsis returns a one-line description.
func (*Load) Synopsis() string { return "generate load and report verdicts and latencies" }

// Usage returns the help text.
func (*Load) Usage() string {
	return `load --callers IP:PORT[,IP:PORT...] --service SERVICE --operation OPERATION
  Sends requests at a fixed rate and reports verdicts and latencies, measured from
  the time at which each request was due. --mix sends several operations by
  weight, --direct sends to stand-ins without routers.
  Example: endivespring load --callers 127.0.0.1:7101 --service timetable --operation lookup --keys 100 --rate 200 --duration 5s
`
}

// SetFlags declares the flags.
func (c *Load) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addresses, "callers", "", "routers' addresses for callers, separated by commas")
	f.StringVar(&c.service, "service", "", "service")
	f.StringVar(&c.operation, "operation", "", "operation")
	f.StringVar(&c.mix, "mix", "", "operations by weight instead of --service and --operation, such as timetable/lookup=9,reservations/reserve=1")
	f.BoolVar(&c.settings.Direct, "direct", false, "--callers are addresses of stand-ins")
	f.Float64Var(&c.settings.Zipf, "zipf", 0, "choose keys by a Zipf distribution with this exponent, above 1; 0 chooses uniformly")
	f.IntVar(&c.settings.ResendEvery, "resend-every", 0, "send every n-th request a second time with the same id, marked as a resend")
	f.IntVar(&c.settings.Keys, "keys", 0, "number of different keys; 0 sends no key")
	f.Float64Var(&c.settings.Rate, "rate", 100, "requests per second")
	f.DurationVar(&c.settings.Duration, "duration", 5*time.Second, "length of the run")
	f.DurationVar(&c.settings.Timeout, "timeout", 2*time.Second, "deadline of each request")
	f.IntVar(&c.settings.Workers, "workers", 256, "largest number of concurrent requests")
	f.Uint64Var(&c.settings.Seed, "seed", 1, "seed of the random number generator")
	f.StringVar(&c.body, "body", "", "body of each request")
	c.output.declare(f)
}

// Execute runs the load.
func (c *Load) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		return usageError("%v", err)
	}
	c.settings.Addresses = strings.Split(c.addresses, ",")
	c.settings.Body = []byte(c.body)
	report, err := loadgen.Run(ctx, c.settings)
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(report)
	}
	printLoad(report)
	return subcommands.ExitSuccess
}

// check validates the flags and sets the mix.
func (c *Load) check() error {
	if c.mix == "" && c.service != "" && c.operation != "" {
		c.mix = c.service + "/" + c.operation
	}
	switch {
	case c.addresses == "" || c.mix == "":
		return eris.New("load needs --callers and --mix, or --callers, --service and --operation")
	case c.settings.Zipf != 0 && c.settings.Zipf <= 1:
		return eris.New("--zipf must be above 1, or 0")
	}
	mix, err := loadgen.ParseMix(c.mix)
	c.settings.Mix = mix
	return err
}

func printLoad(r *loadgen.Report) {
	fmt.Fprintf(os.Stdout, "%s seed %d, %.0f/s, %d keys, zipf %.2f: %d sent in %.1f s, verdicts %v, reasons %v, mismatched %d\n",
		r.Mix, r.Seed, r.Rate, r.Keys, r.Zipf, r.Sent, r.Seconds, r.Verdicts, r.Reasons, r.Mismatched)
	if r.Resent > 0 {
		fmt.Fprintf(os.Stdout, "resends: %d, verdicts %v\n", r.Resent, r.ResendVerdicts)
	}
	fmt.Fprintf(os.Stdout, "sent late: %d, at most %.1f ms after they were due\n", r.LateSends, r.MaxSendDelay)
	fmt.Fprintf(os.Stdout, "%-28s %8s %9s %9s %9s %9s  %s\n", "operation", "sent", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "verdicts")
	for _, o := range r.Operations {
		fmt.Fprintf(os.Stdout, "%-28s %8d %9.2f %9.2f %9.2f %9.2f  %v\n", o.Operation, o.Sent, o.P50, o.P99, o.P999, o.Max, o.Verdicts)
	}
	fmt.Fprintf(os.Stdout, "latency ms: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f\n", r.P50, r.P99, r.P999, r.Max)
	fmt.Fprintf(os.Stdout, "upstreams: %v\n", r.Upstreams)
}
