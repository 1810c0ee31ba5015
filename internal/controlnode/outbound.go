package controlnode

import (
	"context"

	"endivespring/internal/consensus"
	"endivespring/internal/ring"
)

// outbound holds the rings towards the other control processes by name. A
// full ring drops its oldest message: the core sends again.
type outbound struct {
	rings map[string]*ring.Ring[consensus.Message]
}

func (o *outbound) send(ctx context.Context, messages []consensus.Message) {
	for _, m := range messages {
		if r := o.rings[m.To.Name]; r != nil {
			_ = r.Put(ctx, m)
		}
	}
}
