package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/samber/do/v2"

	"endivespring/internal/clock"
	"endivespring/internal/controlnode"
	"endivespring/internal/event"
	"endivespring/internal/metrics"
	"endivespring/internal/settings"
)

// Control runs a control process.
type Control struct{ settingsFile string }

// Name returns the subcommand's name.
func (*Control) Name() string { return "control" }

// Synopsis returns a one-line description.
func (*Control) Synopsis() string { return "run a control process" }

// Usage returns the help text.
func (*Control) Usage() string {
	return `control --settings FILE
  Runs a control process until SIGTERM. The data folder must exist.
  Example: endivespring control --settings control-1.json
`
}

// SetFlags declares the flags.
func (c *Control) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file")
}

// Execute runs the process.
func (c *Control) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settingsFile == "" || f.NArg() > 0 {
		return usage("control needs --settings FILE and nothing else")
	}
	s := &settings.Control{}
	if err := settings.Read(c.settingsFile, s); err != nil {
		return fail(err)
	}
	token, err := settings.ReadToken(s.TokenFile)
	if err != nil {
		return fail(err)
	}
	injector := processScope(s.Name)
	do.ProvideValue(injector, s)
	node, err := controlnode.Start(ctx, injector, token)
	if err != nil {
		return fail(err)
	}
	return serve(node, do.MustInvoke[*event.Log](injector))
}

// processScope provides what every process needs: its event log and clock.
func processScope(name string) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, event.NewLog(stderrLog, name))
	do.Provide(injector, func(i do.Injector) (*metrics.Registry, error) {
		return metrics.NewRegistry(do.MustInvoke[*event.Log](i)), nil
	})
	do.Provide(injector, func(do.Injector) (clock.Clock, error) { return clock.NewMonotonic(), nil })
	return injector
}
