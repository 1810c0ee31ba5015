package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// Explain says who owns a key and why.
type Explain struct{ operatorFlags }

// Name returns the subcommand's name.
func (*Explain) Name() string { return "explain" }

// Synopsis returns a one-line description.
func (*Explain) Synopsis() string { return "say who owns a key and how that came about" }

// Usage returns the help text.
func (*Explain) Usage() string {
	return `explain [flags] SERVICE KEY
  Says which upstream owns a key, under which epoch, and its shard's last moves.
  Example: endivespring explain timetable pool-17/lane-4
`
}

// SetFlags declares the flags.
func (c *Explain) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute runs the command.
func (c *Explain) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return usage("explain needs SERVICE and KEY")
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	explanation, err := client.Explain(f.Arg(0), f.Arg(1))
	if err != nil {
		return fail(err)
	}
	if c.output == "json" {
		return printJSON(explanation)
	}
	fmt.Fprintf(os.Stdout, "%s is in shard %s: %s, owner %s, epoch %d\n",
		explanation.Key, explanation.Shard, explanation.Phase, explanation.Owner, explanation.Epoch)
	for _, move := range explanation.Moves {
		fmt.Fprintf(os.Stdout, "  view %d: %s %s epoch %d\n", move.Version, move.Phase, move.Owner, move.Epoch)
	}
	return subcommands.ExitSuccess
}
