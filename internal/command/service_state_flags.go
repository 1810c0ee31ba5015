package command

import (
	"flag"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// serviceStateFlags are the flags of commands that take a data centre or an
// upstream out of service or return it.
type serviceStateFlags struct {
	operatorFlags
	force bool
}

func (s *serviceStateFlags) declareServiceState(f *flag.FlagSet) {
	s.declareChange(f)
	f.BoolVar(&s.force, "force", false, "send the command even if the fleet has no such name")
}

// parseServiceState reads the arguments "out NAME" or "in NAME".
func (s *serviceStateFlags) parseServiceState(f *flag.FlagSet) (name string, out, ok bool) {
	args, err := parseArguments(f)
	if err != nil || len(args) != 2 || args[1] == "" || (args[0] != "out" && args[0] != "in") {
		return "", false, false
	}
	return args[1], args[0] == "out", true
}

// setServiceState sends the command if the fleet has the name. A resend, which has
// a command ID, is sent in any case, because only control knows the outcome of
// the first one.
func (s *serviceStateFlags) setServiceState(name string, known func(*controller.Status) bool, body operator.ChangeBody) subcommands.ExitStatus {
	if s.force || s.commandID != "" {
		return s.change(body)
	}
	client, err := s.client()
	if err != nil {
		return fail(err)
	}
	status, err := client.Status()
	if err != nil {
		return fail(err)
	}
	if !known(status) {
		return fail(eris.Wrapf(operator.ErrRefused, "the fleet has no %q now; use --force to send it anyway", name))
	}
	return s.change(body)
}
