package standin

import (
	"context"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"endivespring/internal/ring"
)

// ledgerDuty appends lines to the ledger as JSON, one per event, and then sends the
// answers that wait for them.
type ledgerDuty struct {
	entries *ring.Ring[ledgerEntry]
	out     io.Writer
}

// Run writes entries until the context ends, then those that are still queued.
func (d *ledgerDuty) Run(ctx context.Context) error {
	encoder := json.NewEncoder(d.out)
	for {
		entry, err := d.entries.Take(ctx)
		if err != nil {
			return d.flush(encoder)
		}
		if err := write(encoder, &entry); err != nil {
			return err
		}
	}
}

func (d *ledgerDuty) flush(encoder *json.Encoder) error {
	for d.entries.Depth() > 0 {
		entry := <-d.entries.Out()
		if err := write(encoder, &entry); err != nil {
			return err
		}
	}
	return nil
}

func write(encoder *json.Encoder, entry *ledgerEntry) error {
	if err := encoder.Encode(entry.line); err != nil {
		return eris.Wrap(err, "write ledger")
	}
	if entry.reply != nil {
		entry.reply.Send(entry.answer)
	}
	return nil
}
