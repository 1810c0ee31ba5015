package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// process is a long-running part of the system.
type process interface {
	// Stop finishes what runs and stops the process.
	Stop()
	// Wait waits until the process has stopped.
	Wait() error
}

// serve waits for the process to end, and stops it on SIGTERM or SIGINT. A
// second signal ends it at once.
func serve(p process) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	context.AfterFunc(ctx, func() {
		cancel()
		p.Stop()
	})
	if err := p.Wait(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// stderrLog is where processes write their events.
var stderrLog = os.Stderr
