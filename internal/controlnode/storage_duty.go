package controlnode

import (
	"context"

	"endivespring/internal/ring"
	"endivespring/internal/storage"
)

// storageDuty owns the disk. A failed write ends the process, since what is
// stored is then unknown.
type storageDuty struct {
	disk      *storage.Disk
	writes    *ring.Ring[storageRequest]
	persisted *ring.Ring[logPosition]
	outbound  *outbound
}

// Run stores what the consensus duty asks for, in order.
func (d *storageDuty) Run(ctx context.Context) error {
	for {
		w, err := d.writes.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.store(&w); err != nil {
			return err
		}
		d.outbound.send(ctx, w.output.AfterSync)
		if last := w.output.LastIndex(); last > 0 {
			_ = d.persisted.Put(ctx, logPosition{index: last, term: w.term})
		}
	}
}

func (d *storageDuty) store(w *storageRequest) error {
	if w.snapshot != nil {
		return d.disk.Compact(w.snapshot, w.retained)
	}
	if w.output.Snapshot != nil {
		if err := d.disk.Append(w.output.HardState, nil); err != nil {
			return err
		}
		return d.disk.Compact(w.output.Snapshot, w.output.Entries)
	}
	return d.disk.Append(w.output.HardState, w.output.Entries)
}
