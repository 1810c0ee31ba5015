package command

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/google/subcommands"

	"endivespring/internal/standin"
)

// Standin runs a stand-in upstream.
type Standin struct {
	settings  standin.Settings
	behaviour string
}

// Name returns the subcommand's name.
func (*Standin) Name() string { return "standin" }

// Synopsis returns a one-line description.
func (*Standin) Synopsis() string { return "run a stand-in upstream for tests" }

// Usage returns the help text.
func (*Standin) Usage() string {
	return `standin --name NAME --service SERVICE --address IP:PORT --announce IP:PORT
  Runs an upstream that announces itself to the router at --announce.
  Example: endivespring standin --name u1 --service timetable --address 127.0.0.1:9001 --announce 127.0.0.1:7102
`
}

// SetFlags declares the flags.
func (c *Standin) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings.Name, "name", "", "name of the upstream")
	f.StringVar(&c.settings.Service, "service", "", "service of the upstream")
	f.StringVar(&c.settings.Address, "address", "", "address to listen on")
	f.StringVar(&c.settings.Advertise, "advertise", "", "address at which the router reaches it, if it differs from --address")
	f.StringVar(&c.settings.Announce, "announce", "", "address at which the router beside it accepts announcements")
	f.IntVar(&c.settings.Slots, "slots", 10, "capacity when warm, in concurrent requests")
	f.IntVar(&c.settings.ColdSlots, "cold-slots", 2, "capacity right after a cold start, in concurrent requests")
	f.IntVar(&c.settings.Connections, "connections", 130, "largest number of connections")
	f.BoolVar(&c.settings.ChecksGrants, "checks-grants", true, "refuse stale epochs and expired grants")
	f.DurationVar(&c.settings.Latency, "latency", 2*time.Millisecond, "duration of a run")
	f.IntVar(&c.settings.WarmCompletions, "warm-completions", 4, "completed requests after which the capacity grows by one during warm-up")
	f.StringVar(&c.behaviour, "behaviour", "{}", "initial behaviour, as JSON; POST /behaviour changes it later")
	f.StringVar(&c.settings.Ledger, "ledger", "", "file that each run is appended to")
	f.DurationVar(&c.settings.AnnounceEvery, "announce-every", 500*time.Millisecond, "time between announcements")
}

// Execute runs the stand-in.
func (c *Standin) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings.Name == "" || c.settings.Service == "" || c.settings.Address == "" || c.settings.Announce == "" {
		return usageError("standin needs --name, --service, --address and --announce")
	}
	if err := json.Unmarshal([]byte(c.behaviour), &c.settings.Behaviour); err != nil {
		return usageError("--behaviour: %v", err)
	}
	server, err := standin.Start(ctx, c.settings)
	if err != nil {
		return fail(err)
	}
	return serve(server, nil)
}
