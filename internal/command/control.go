package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/samber/do/v2"

	"endivespring/internal/clock"
	"endivespring/internal/controlnode"
	"endivespring/internal/event"
	"endivespring/internal/metrics"
	"endivespring/internal/settings"
)

// Control runs a control process.
type Control struct {
	settingsFile string
	// settingsVariable is the name of the environment variable that holds the path
	// of the settings file.
	settingsVariable string
	faults           faultFlags
	frontEnds        []FrontEnd
}

// Name returns the subcommand's name.
func (*Control) Name() string { return "control" }

// Synopsis returns a one-line description.
func (*Control) Synopsis() string { return "run a control process" }

// Usage returns the help text.
func (*Control) Usage() string {
	return `control --settings FILE | --settings-variable NAME
  Runs a control process until SIGTERM. The data folder must exist.
  Example: endivespring control --settings control-1.json
`
}

// SetFlags declares the flags.
func (c *Control) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file")
	f.StringVar(&c.settingsVariable, "settings-variable", "", "environment variable that holds the path of the settings file")
	c.faults.declare(f)
}

// Execute runs the process.
func (c *Control) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file := settingsPath(c.settingsFile, c.settingsVariable)
	if file == "" || f.NArg() > 0 {
		return usageError("control needs --settings FILE or --settings-variable NAME and nothing else")
	}
	s := &settings.Control{}
	if err := settings.Read(file, s); err != nil {
		return fail(err)
	}
	token, err := readToken(s)
	if err != nil {
		return fail(err)
	}
	limitMemory(s.MemoryMB, s.GCPercent)
	injector := newProcessInjector(s.Name)
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, settings.NewSource[settings.Control](file))
	provideFrontEnds(injector, c.frontEnds)
	c.faults.provide(injector)
	node, err := controlnode.Start(ctx, injector, token)
	if err != nil {
		return fail(err)
	}
	return serve(node, do.MustInvoke[*event.Log](injector))
}

// newProcessInjector returns an injector with what every process needs: its event
// log, metrics and clock.
func newProcessInjector(name string) do.Injector {
	injector := do.New()
	do.ProvideValue(injector, event.NewLog(eventOutput, name))
	do.Provide(injector, func(i do.Injector) (*metrics.Registry, error) {
		return metrics.NewRegistry(do.MustInvoke[*event.Log](i)), nil
	})
	do.Provide(injector, func(do.Injector) (clock.Clock, error) { return clock.NewMonotonic(), nil })
	return injector
}

// readToken returns the operators' token, or an empty one if no token file is set.
func readToken(s *settings.Control) (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	return settings.ReadToken(s.TokenFile)
}

// settingsPath returns the path of the settings file: file if it is set, else the
// value of the environment variable.
func settingsPath(file, variable string) string {
	if file == "" && variable != "" {
		return os.Getenv(variable)
	}
	return file
}
