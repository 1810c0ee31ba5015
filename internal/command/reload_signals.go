package command

import (
	"context"
	"os"
)

// reloadSignals delivers SIGHUP, which says that the settings file changed.
type reloadSignals chan os.Signal

// serve makes a process take its settings anew with each signal.
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
