// Package command holds the subcommands of the binary, one a file.
package command

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"endivespring/internal/operator"
)

// Exit codes besides those of the subcommands library (0 success, 1 failure,
// 2 wrong usage).
const (
	// ExitRefused means that the command was refused; nothing changed.
	ExitRefused subcommands.ExitStatus = 3
	// ExitUnknown means that the command may have been accepted or not.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitNotEverywhere means that control accepted the command, but a router
	// may still work under an older version.
	ExitNotEverywhere subcommands.ExitStatus = 5
)

// fail prints an error and returns the matching exit code.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "endivespring: "+err.Error())
	switch {
	case eris.Is(err, operator.ErrUnknown):
		return ExitUnknown
	case eris.Is(err, operator.ErrRefused):
		return ExitRefused
	default:
		return subcommands.ExitFailure
	}
}

// usageError prints what is wrong with the arguments.
func usageError(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "endivespring: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
