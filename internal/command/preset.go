package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"endivespring/internal/operator"
	"endivespring/internal/preset"
)

var errNoPreset = eris.New("no preset is in force yet")

// Preset validates, compares, shows and applies presets.
type Preset struct{ operatorFlags }

// Name returns the subcommand's name.
func (*Preset) Name() string { return "preset" }

// Synopsis returns a one-line description.
func (*Preset) Synopsis() string { return "validate, compare, show or apply presets" }

// Usage returns the help text.
func (*Preset) Usage() string {
	return `preset [flags] validate FILE | diff [FILE] FILE | show | apply FILE
  validate checks a preset file without contacting control.
  diff shows the differences between two files, or between the preset in force
  and a file.
  show prints the preset in force; with --output json as a preset file.
  apply puts a preset in force everywhere.
  Example: endivespring preset diff peak.json && endivespring preset apply peak.json
`
}

// SetFlags declares the flags.
func (c *Preset) SetFlags(f *flag.FlagSet) { c.declareChange(f) }

// Execute runs the command.
func (c *Preset) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseArguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	switch {
	case len(args) == 2 && args[0] == "validate":
		return c.validate(args[1])
	case len(args) == 2 && args[0] == "apply":
		return c.apply(args[1])
	case (len(args) == 2 || len(args) == 3) && args[0] == "diff":
		return c.diff(args[1:])
	case len(args) == 1 && args[0] == "show":
		return c.show()
	default:
		return usageError("preset needs validate FILE, diff [FILE] FILE, show or apply FILE")
	}
}

func (c *Preset) validate(path string) subcommands.ExitStatus {
	file, err := preset.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(file)
	}
	fmt.Fprintf(os.Stdout, "preset %s is valid: %d services\n", file.Name, len(file.Services))
	return subcommands.ExitSuccess
}

func (c *Preset) apply(path string) subcommands.ExitStatus {
	if _, err := preset.ReadFile(path); err != nil {
		return fail(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	return c.change(operator.ChangeBody{Preset: data})
}

func (c *Preset) diff(paths []string) subcommands.ExitStatus {
	var files []*preset.File
	if len(paths) == 1 {
		present, err := c.presetInForce()
		if err != nil {
			return fail(err)
		}
		files = append(files, present.Preset)
	}
	for _, path := range paths {
		file, err := preset.ReadFile(path)
		if err != nil {
			return fail(err)
		}
		files = append(files, file)
	}
	differences := preset.Diff(files[0], files[1])
	if c.output == outputJSON {
		return printJSON(differences)
	}
	for _, difference := range differences {
		fmt.Fprintln(os.Stdout, difference)
	}
	return subcommands.ExitSuccess
}

func (c *Preset) presetInForce() (*operator.PresetBody, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	body, err := client.Preset()
	if err == nil && body.Preset == nil {
		err = errNoPreset
	}
	return body, err
}

func (c *Preset) show() subcommands.ExitStatus {
	body, err := c.presetInForce()
	if err != nil {
		return fail(err)
	}
	if c.output == outputJSON {
		return printJSON(body.Preset)
	}
	fmt.Fprintf(os.Stdout, "preset %s, in force since config version %d\n", body.Preset.Name, body.Version)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tBY KEY\tSHARDS\tQUEUE\tOPERATION\tIDEMPOTENT\tDEADLINE")
	for _, s := range body.Preset.Services {
		if len(s.Operations) == 0 {
			fmt.Fprintf(w, "%s\t%t\t-\t%d\t-\t-\t-\n", s.Name, s.Keyed, s.QueueLimit)
		}
		for _, o := range s.Operations {
			fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%s\t%t\t%s\n", s.Name, s.Keyed, s.Shards, s.QueueLimit, o.Name, o.Idempotent, o.Deadline.Value())
		}
	}
	_ = w.Flush()
	showRoutes(body.Preset)
	return subcommands.ExitSuccess
}

// showRoutes prints the routes by which requests find their services, if the
// preset has any.
func showRoutes(p *preset.File) {
	if len(p.Routes) == 0 {
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nROUTE\tHOST\tPREFIX\tIDEMPOTENT\tTIMEOUT\tOBJECTIVE\tPRIORITY\tUPSTREAMS\tTARGETS")
	for _, r := range p.Routes {
		targets := lo.Map(r.Targets, func(t preset.Target, _ int) string {
			if r.Split {
				return fmt.Sprintf("%s=%d", t.Name, t.Weight)
			}
			return t.Name
		})
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%s\t%d\t%d\t%s\n", r.Name, r.Host, r.Prefix, r.Idempotent, r.Timeout.Value(), r.Objective.Value(),
			r.Priority, r.MaxUpstreams, strings.Join(targets, " "))
	}
	_ = w.Flush()
}
