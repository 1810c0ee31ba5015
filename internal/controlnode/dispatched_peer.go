package controlnode

import (
	"context"
	"time"

	"endivespring/internal/consensus"
	"endivespring/internal/ring"
)

// dispatchedPeer is a control process that a running peer duty sends to.
type dispatchedPeer struct {
	messages *ring.Ring[consensus.Message]
	lastUsed time.Time
	cancel   context.CancelFunc
}
