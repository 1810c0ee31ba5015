package command

import (
	"flag"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// takingFlags are the flags of commands that take something out or back.
type takingFlags struct {
	operatorFlags
	force bool
}

func (t *takingFlags) setTaking(f *flag.FlagSet) {
	t.setChange(f)
	f.BoolVar(&t.force, "force", false, "send the command even if the fleet has no such name")
}

// outOrIn reads the arguments "out NAME" or "in NAME".
func (t *takingFlags) outOrIn(f *flag.FlagSet) (name string, out, ok bool) {
	args, err := arguments(f)
	if err != nil || len(args) != 2 || args[1] == "" || (args[0] != "out" && args[0] != "in") {
		return "", false, false
	}
	return args[1], args[0] == "out", true
}

// take sends the command if the fleet knows the name. A resend is always sent,
// since only control knows what became of the first one.
func (t *takingFlags) take(name string, known func(*controller.Status) bool, body operator.ChangeBody) subcommands.ExitStatus {
	if t.force || t.commandID != "" {
		return t.change(body)
	}
	client, err := t.client()
	if err != nil {
		return fail(err)
	}
	status, err := client.Status()
	if err != nil {
		return fail(err)
	}
	if !known(status) {
		return fail(eris.Wrapf(operator.ErrRefused, "the fleet has no %q now; with --force it is sent all the same", name))
	}
	return t.change(body)
}
