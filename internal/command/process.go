package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"endivespring/internal/event"
)

// process is a long-running part of the system.
type process interface {
	// Stop finishes what runs and stops the process.
	Stop()
	// Reload takes changes of the settings.
	Reload()
	// Wait waits until the process has stopped.
	Wait() error
}

// serve waits for the process to end, and stops it on SIGTERM or SIGINT. A
// second signal ends it at once.
func serve(p process, events *event.Log) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	context.AfterFunc(ctx, func() {
		cancel()
		p.Stop()
	})
	signals := make(reloadSignals, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	go signals.run(ctx, p)
	err := p.Wait()
	if events != nil {
		events.Record(event.ProcessStopped, event.F("error", errorText(err)))
		events.Flush()
	}
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// eventOutput is where processes write their events.
var eventOutput = os.Stdout
