package controlnode

import (
	"context"

	"endivespring/internal/consensus"
	"endivespring/internal/ring"
)

// outbound queues messages to other control processes. A full ring drops its
// oldest message; the consensus core sends again.
type outbound struct {
	messages *ring.Ring[consensus.Message]
}

func (o *outbound) send(ctx context.Context, messages []consensus.Message) {
	for _, m := range messages {
		_ = o.messages.Put(ctx, m)
	}
}
