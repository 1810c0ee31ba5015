package storage

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/consensus"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// replay restores hard state and entries from the batches of a log file.
type replay struct {
	batches int
	// snapshot is the index of the snapshot that the log follows.
	snapshot  uint64
	hardState consensus.HardState
	entries   []consensus.Entry
}

// add applies the next batch. An entry replaces those at and after its index.
func (r *replay) add(payload []byte) error {
	var batch wirepb.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return eris.Wrap(err, "decode batch")
	}
	if r.batches == 0 {
		r.snapshot = batch.GetSnapshot()
	}
	r.batches++
	if batch.GetHardState() != nil {
		r.hardState = wire.ToHardState(batch.GetHardState())
	}
	for _, entry := range wire.ToEntries(batch.GetEntries()) {
		at := entry.Index - r.snapshot - 1
		if entry.Index <= r.snapshot || at > uint64(len(r.entries)) {
			return eris.Errorf("entry %d is not contiguous with the log", entry.Index)
		}
		r.entries = append(r.entries[:at], entry)
	}
	return nil
}

// stored combines the log with the snapshot file. The snapshot is newer than the
// log if a crash interrupted a compaction. Then the entries after the snapshot
// are valid only if the log holds the snapshot's last entry.
func (r *replay) stored(snapshot *consensus.Snapshot) (*consensus.Stored, error) {
	if r.batches == 0 {
		return nil, eris.New("log is empty or missing")
	}
	out := &consensus.Stored{HardState: r.hardState, Snapshot: snapshot, Entries: r.entries}
	var index uint64
	if snapshot != nil {
		index = snapshot.Index
	}
	switch covered := index - r.snapshot; {
	case index < r.snapshot:
		return nil, eris.Errorf("log follows snapshot %d, but the stored snapshot is %d", r.snapshot, index)
	case covered == 0:
	case covered <= uint64(len(r.entries)) && r.entries[covered-1].Term == snapshot.Term:
		out.Entries = r.entries[covered:]
	default:
		out.Entries = nil
	}
	return out, nil
}
