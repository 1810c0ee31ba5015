package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"endivespring/internal/event"
)

// process is a control process, a router or a stand-in.
type process interface {
	// Stop finishes running work and stops the process.
	Stop()
	// Reload reads the settings again and applies those that can change at run
	// time.
	Reload()
	// Wait waits until the process has stopped.
	Wait() error
}

// serve waits until the process has stopped. SIGTERM or SIGINT stops it; a second
// signal terminates it immediately. SIGHUP reloads its settings. events is nil for a
// stand-in, which has no event log.
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
