package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/samber/do/v2"

	"endivespring/internal/event"
	"endivespring/internal/router"
	"endivespring/internal/settings"
)

// Router runs a router.
type Router struct {
	settingsFile string
	// settingsVariable is the name of the environment variable that holds the path
	// of the settings file.
	settingsVariable string
	faults           faultFlags
	frontEnds        []FrontEnd
}

// Name returns the subcommand's name.
func (*Router) Name() string { return "router" }

// Synopsis returns a one-line description.
func (*Router) Synopsis() string { return "run the router beside an upstream" }

// Usage returns the help text.
func (*Router) Usage() string {
	return `router --settings FILE | --settings-variable NAME
  Runs a router until SIGTERM. On SIGTERM it releases its shards, finishes its
  running work and exits.
  Example: endivespring router --settings router-1.json
`
}

// SetFlags declares the flags.
func (c *Router) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file")
	f.StringVar(&c.settingsVariable, "settings-variable", "", "environment variable that holds the path of the settings file")
	c.faults.declare(f)
}

// Execute runs the process.
func (c *Router) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file := settingsPath(c.settingsFile, c.settingsVariable)
	if file == "" || f.NArg() > 0 {
		return usageError("router needs --settings FILE or --settings-variable NAME and nothing else")
	}
	s := &settings.Router{}
	if err := settings.Read(file, s); err != nil {
		return fail(err)
	}
	limitMemory(s.MemoryMB, s.GCPercent)
	injector := newProcessInjector(s.Name)
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, settings.NewSource[settings.Router](file))
	provideFrontEnds(injector, c.frontEnds)
	c.faults.provide(injector)
	node, err := router.Start(ctx, injector)
	if err != nil {
		return fail(err)
	}
	return serve(node, do.MustInvoke[*event.Log](injector))
}
