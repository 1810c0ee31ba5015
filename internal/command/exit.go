// Package command implements the subcommands of the binary, one per file.
package command

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/operator"
)

// Exit codes in addition to those of the subcommands library (0 success, 1
// failure, 2 usage error).
const (
	// ExitRefused means that the command was refused; nothing changed.
	ExitRefused subcommands.ExitStatus = 3
	// ExitUnknown means that it is not known whether the command was accepted.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitNotEverywhere means that control accepted the command, but that a router
	// may still work under an older config version.
	ExitNotEverywhere subcommands.ExitStatus = 5
)

// fail prints err to standard error and returns the exit code for its kind.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "endivespring: "+err.Error())
	switch {
	case eris.Is(err, operator.ErrOutcomeUnknown):
		return ExitUnknown
	case eris.Is(err, operator.ErrRefused):
		return ExitRefused
	default:
		return subcommands.ExitFailure
	}
}

// usageError prints what is wrong with the arguments and returns the exit code of
// usage errors.
func usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "endivespring: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
