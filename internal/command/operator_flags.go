package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"endivespring/internal/operator"
	"endivespring/internal/settings"
)

const defaultLeaderTimeout = 10 * time.Second // default of --patience

// operatorFlags are the flags that all operator commands share.
type operatorFlags struct {
	settingsFile  string
	output        output
	leaderTimeout time.Duration
	expected      int64
	commandID     string
	wait          time.Duration

	settings settings.Operator
}

func (o *operatorFlags) declare(f *flag.FlagSet) {
	f.StringVar(&o.settingsFile, "settings", "operator.json", "settings `file`")
	f.DurationVar(&o.leaderTimeout, "patience", defaultLeaderTimeout, "longest `time` to look for the control leader")
	o.output.declare(f)
}

// declareChange declares the flags of commands that change configuration.
func (o *operatorFlags) declareChange(f *flag.FlagSet) {
	o.declare(f)
	f.Int64Var(&o.expected, "expect", -1, "config `version` that the command is based on; the current one if not set")
	f.DurationVar(&o.wait, "wait", 0, "longest `time` to wait until the change is in force at every router that takes work")
	f.StringVar(&o.commandID, "command-id", "", "`id` that makes a resend idempotent; a new one if not set")
}

// client reads the settings and the token and returns a client.
func (o *operatorFlags) client() (*operator.Client, error) {
	if err := settings.Read(o.settingsFile, &o.settings); err != nil {
		return nil, err
	}
	token, err := settings.ReadToken(o.settings.TokenFile)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(o.settings.Control, token, o.leaderTimeout), nil
}

// change sends a command, prints its outcome and, if --wait is set, waits at most
// that long until the change is in force.
func (o *operatorFlags) change(body operator.ChangeBody) subcommands.ExitStatus {
	client, err := o.client()
	if err != nil {
		return fail(err)
	}
	if o.expected < 0 {
		status, err := client.Status()
		if err != nil {
			return fail(err)
		}
		o.expected = int64(status.ConfigVersion)
	}
	if o.commandID == "" {
		o.commandID = rand.Text()
	}
	body.CommandID, body.Operator, body.Expected = o.commandID, o.settings.Name, uint64(o.expected)
	result, err := client.Change(&body)
	if err != nil {
		fmt.Fprintf(os.Stderr, "command id %s, expected config version %d\n", o.commandID, o.expected)
		return fail(err)
	}
	if status := o.printResult(result); status != subcommands.ExitSuccess || o.wait == 0 {
		return status
	}
	return o.waitInForce(client, result.Config)
}

// waitInForce waits until a config version is in force at every router that takes
// work.
func (o *operatorFlags) waitInForce(client *operator.Client, config uint64) subcommands.ExitStatus {
	status, ok := client.Await(context.Background(), config, o.wait)
	switch {
	case ok:
		fmt.Fprintf(os.Stderr, "in force everywhere\n")
		return subcommands.ExitSuccess
	case status == nil:
		fmt.Fprintf(os.Stderr, "unknown whether it is in force everywhere: no control leader reached\n")
	default:
		fmt.Fprintf(os.Stderr, "not yet in force everywhere; may work under an older version: %s\n", strings.Join(status.RoutersWorkingOnOlder, ", "))
	}
	return ExitNotEverywhere
}

func (o *operatorFlags) printResult(result *operator.ResultBody) subcommands.ExitStatus {
	if o.output == outputJSON {
		if status := printJSON(result); status != subcommands.ExitSuccess {
			return status
		}
	} else if result.Accepted {
		fmt.Fprintf(os.Stdout, "accepted: config version %d\n", result.Config)
	} else {
		fmt.Fprintf(os.Stdout, "refused: %s\n", result.Reason)
	}
	if !result.Accepted {
		return ExitRefused
	}
	return subcommands.ExitSuccess
}
