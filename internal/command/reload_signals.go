package command

import (
	"context"
	"os"
)

// reloadSignals delivers SIGHUP, which means that the settings file has changed.
type reloadSignals chan os.Signal

// run reloads the settings of a process on each signal until the context ends.
func (s reloadSignals) run(ctx context.Context, p process) {
	for {
		select {
		case <-s:
			p.Reload()
		case <-ctx.Done():
			return
		}
	}
}
