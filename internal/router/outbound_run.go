package router

import (
	"context"

	"endivespring/internal/executor"
)

// outboundRun is a run on its way to a sender; the context ends when nobody
// wants its outcome any more.
type outboundRun struct {
	ctx context.Context
	run executor.Run
}
