package controlnode

import (
	"context"

	"endivespring/internal/ring"
	"endivespring/internal/storage"
)

// storageDuty owns the disk. A failed write or sync ends the process, since it
// is then unknown what is stored.
type storageDuty struct {
	disk      *storage.Disk
	writes    *ring.Ring[storageRequest]
	persisted *ring.Ring[logPosition]
	outbound  *outbound
}

// Run stores requests in order. Only after the sync of a request does it send
// the messages that depend on it and report the last stored entry, so that
// nothing is acknowledged before it is on disk. A full ring of reports drops
// the oldest: a later report covers it.
func (d *storageDuty) Run(ctx context.Context) error {
	for {
		request, err := d.writes.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.store(&request); err != nil {
			return err
		}
		d.outbound.send(ctx, request.output.AfterSync)
		if last := request.output.LastIndex(); last > 0 {
			_ = d.persisted.Put(ctx, logPosition{index: last, term: request.term})
		}
	}
}

// store writes and syncs one request. The hard state is synced before a
// received snapshot replaces the log.
func (d *storageDuty) store(request *storageRequest) error {
	if request.snapshot != nil {
		return d.disk.Compact(request.snapshot, request.retained)
	}
	if request.output.Snapshot != nil {
		if err := d.disk.Append(request.output.HardState, nil); err != nil {
			return err
		}
		return d.disk.Compact(request.output.Snapshot, request.output.Entries)
	}
	return d.disk.Append(request.output.HardState, request.output.Entries)
}
