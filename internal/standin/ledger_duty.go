package standin

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"endivespring/internal/ring"
)

// ledgerDuty appends lines to the ledger as JSON, one per event.
type ledgerDuty struct {
	lines *ring.Ring[LedgerLine]
	out   io.Writer
}

// Run writes lines until the context ends, then those that are still queued.
func (d *ledgerDuty) Run(ctx context.Context) error {
	encoder := json.NewEncoder(d.out)
	for {
		line, err := d.lines.Take(ctx)
		if err != nil {
			return d.flush(encoder)
		}
		if err := encoder.Encode(line); err != nil {
			return eris.Wrap(err, "write ledger")
		}
	}
}

func (d *ledgerDuty) flush(encoder *json.Encoder) error {
	for d.lines.Depth() > 0 {
		if err := encoder.Encode(<-d.lines.Out()); err != nil {
			return eris.Wrap(err, "write ledger")
		}
	}
	return nil
}
