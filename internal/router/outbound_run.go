package router

import (
	"context"

	"endivespring/internal/executor"
)

// outboundRun is a run queued for a sender. Its context ends when the run is
// cancelled.
type outboundRun struct {
	ctx context.Context
	run executor.Run
}
