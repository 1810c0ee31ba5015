package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Explain prints the owner of a key with the shard's last moves, or the events of a
// request.
type Explain struct {
	operatorFlags
	request string
	log     string
}

// Name returns the subcommand's name.
func (*Explain) Name() string { return "explain" }

// Synopsis returns a one-line description.
func (*Explain) Synopsis() string { return "show who owns a key, or trace a request through logs" }

// Usage returns the help text.
func (*Explain) Usage() string {
	return `explain [flags] SERVICE KEY
explain --request ID --log FILE...
  Prints which upstream owns a key, under which epoch, and the last moves of its
  shard; or prints the events of one request from routers' event logs, ordered by
  the VMs' clocks. Events of routers whose log is not given are missing.
  Example: endivespring explain timetable pool-17/lane-4
  Example: endivespring explain --request demo-1 --log router-1.log router-2.log
`
}

// SetFlags declares the flags.
func (c *Explain) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	f.StringVar(&c.request, "request", "", "`id` of a request whose events are printed from logs")
	f.StringVar(&c.log, "log", "", "event log `file`; more may follow")
}

// Execute runs the command.
func (c *Explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if asksWhere(f) {
		return executeWhere(ctx, f.Args()[1:])
	}
	args, err := parseArguments(f)
	switch {
	case err != nil:
		return subcommands.ExitUsageError
	case c.request != "" && c.log != "":
		return c.printTrace(append([]string{c.log}, args...))
	case c.request != "" || c.log != "" || len(args) != 2:
		return usageError("explain needs SERVICE and KEY, or --request ID and --log FILE")
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	explanation, err := client.Explain(args[0], args[1])
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(explanation)
	}
	owner := explanation.Owner
	if owner == "" {
		owner = "none"
	}
	fmt.Fprintf(os.Stdout, "%s is in shard %s: %s, owner %s, epoch %d\n",
		explanation.Key, explanation.Shard, explanation.Phase, owner, explanation.Epoch)
	for _, move := range explanation.Moves {
		fmt.Fprintf(os.Stdout, "  view %d: %s %s epoch %d\n", move.Version, move.Phase, move.Owner, move.Epoch)
	}
	return subcommands.ExitSuccess
}

func (c *Explain) printTrace(files []string) subcommands.ExitStatus {
	trace, err := readRequestTrace(c.request, files)
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(trace)
	}
	trace.print(os.Stdout)
	return subcommands.ExitSuccess
}
