package command

import (
	"context"
	"os"
)

// hangups delivers SIGHUP, which says that the settings file changed.
type hangups chan os.Signal

// reload makes a process take its settings anew with each signal.
func (h hangups) reload(ctx context.Context, p process) {
	for {
		select {
		case <-h:
			p.Reload()
		case <-ctx.Done():
			return
		}
	}
}
