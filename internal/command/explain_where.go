package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const whereTimeout = 3 * time.Second // limit on one question to a router

// ExplainWhere prints where a router would send a request. Explain executes it when its
// first argument is where.
type ExplainWhere struct {
	router, fleet           string
	host, path, method, key string
	output                  output
}

// Name returns the subcommand's name.
func (*ExplainWhere) Name() string { return "explain where" }

// Synopsis returns a one-line description.
func (*ExplainWhere) Synopsis() string { return "show where a router would send a request, and why" }

// Usage returns the help text.
func (*ExplainWhere) Usage() string {
	return `explain where --router ADDRESS --fleet NAME --host HOST --path PATH [--key N] [--method GET]
explain where --router ADDRESS --fleet NAME SERVICE OPERATION [KEY]
  Asks a router where a request would go now, and why, without sending it. Prints the
  route, the service, the key's owner, and the executors with their estimates and what
  these rest on. Nothing changes at the router. Exit code 3 if the request would be
  refused.
  Example: endivespring explain where --router 127.0.0.1:17401 --fleet demo timetable lookup lane-4
`
}

// SetFlags declares the flags.
func (c *ExplainWhere) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.router, "router", "", "peer `address` of the router")
	f.StringVar(&c.fleet, "fleet", "", "`name` of the router's fleet, as in its settings")
	f.StringVar(&c.host, "host", "", "`host` of a routed request")
	f.StringVar(&c.path, "path", "", "`path` of a routed request")
	f.StringVar(&c.method, "method", "GET", "`method` of a routed request")
	f.StringVar(&c.key, "key", "", "`number` of the key of a routed request")
	c.output.declare(f)
}

// Execute runs the command.
func (c *ExplainWhere) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := parseArguments(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	question, err := c.question(args)
	if err != nil {
		return usageError("%s", err.Error())
	}
	answer, err := c.ask(ctx, &question)
	if err != nil {
		return fail(err)
	}
	report := newWhereReport(&question, &answer)
	if c.output == outputJSON {
		if code := printJSON(report); code != subcommands.ExitSuccess {
			return code
		}
	} else {
		report.print(os.Stdout)
	}
	if answer.Decision == gateway.Refused {
		return ExitRefused
	}
	return subcommands.ExitSuccess
}

func (c *ExplainWhere) question(args []string) (gateway.Question, error) {
	routed := c.host != "" || c.path != "" || c.key != ""
	switch {
	case c.router == "" || c.fleet == "":
		return gateway.Question{}, eris.New("explain where needs --router ADDRESS and --fleet NAME")
	case routed && len(args) == 0 && c.host != "" && c.path != "" && c.method != "":
		return c.routedQuestion()
	case !routed && (len(args) == 2 || len(args) == 3):
		q := gateway.Question{Service: args[0], Operation: args[1]}
		if len(args) == 3 {
			q.Key = args[2]
		}
		return q, nil
	default:
		return gateway.Question{}, eris.New("explain where needs --host and --path, or SERVICE and OPERATION")
	}
}

func (c *ExplainWhere) routedQuestion() (gateway.Question, error) {
	q := gateway.Question{Method: c.method, Host: c.host, Path: c.path}
	if c.key == "" {
		return q, nil
	}
	number, err := strconv.ParseUint(c.key, 10, 32)
	if err != nil || number >= fleet.KeyCount {
		return q, eris.Errorf("--key %s is not a number from 0 to %d", c.key, fleet.KeyCount-1)
	}
	q.KeyNumber, q.Numbered = uint32(number), true
	return q, nil
}

// ask sends the question to the router.
func (c *ExplainWhere) ask(ctx context.Context, q *gateway.Question) (gateway.Whereabouts, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	connection, err := peer.Dial(c.router)
	if err != nil {
		return gateway.Whereabouts{}, err
	}
	defer func() { _ = connection.Close() }()
	reply, err := wirepb.NewExplainerClient(connection).Where(peer.NameFleet(ctx, c.fleet), wire.FromQuestion(q, c.fleet))
	switch status.Code(err) {
	case codes.OK:
		return wire.ToWhereabouts(reply), nil
	case codes.PermissionDenied:
		return gateway.Whereabouts{}, eris.Errorf("router %s is of another fleet: %s", c.router, status.Convert(err).Message())
	case codes.Unavailable:
		return gateway.Whereabouts{}, eris.Errorf("no router can be reached at %s", c.router)
	case codes.Unimplemented:
		return gateway.Whereabouts{}, eris.Errorf("%s is not the peer address of a router, or the router is of an earlier build", c.router)
	default:
		return gateway.Whereabouts{}, eris.Errorf("router %s: %s", c.router, status.Convert(err).Message())
	}
}

// refusalText returns what is printed for a reason.
func refusalText(reason verdict.Reason) string {
	if reason == verdict.ReasonNone {
		return ""
	}
	return " (" + string(reason) + ")"
}

// asksWhere reports whether the arguments of explain are those of explain where. Two plain
// arguments are a service, which may have that name, and a key.
func asksWhere(f *flag.FlagSet) bool {
	return f.Arg(0) == "where" && (f.NArg() != 2 || strings.HasPrefix(f.Arg(1), "-"))
}

func executeWhere(ctx context.Context, args []string) subcommands.ExitStatus {
	c := &ExplainWhere{}
	set := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	set.Usage = func() {
		fmt.Fprint(set.Output(), c.Usage())
		set.PrintDefaults()
	}
	c.SetFlags(set)
	if err := set.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	return c.Execute(ctx, set)
}
