package storage

import (
	"errors"
	"os"
	"syscall"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/consensus"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// load reads identity, snapshot and log and opens the log for appending.
func (d *Disk) load(fleet, name string) (*consensus.Stored, error) {
	if err := d.loadIdentity(fleet, name); err != nil {
		return nil, err
	}
	snapshot, err := d.loadSnapshot()
	if err != nil {
		return nil, err
	}
	r := &replay{}
	if err := d.loadLog(r); err != nil {
		return nil, err
	}
	stored, err := r.stored(snapshot)
	if err != nil {
		return nil, d.damaged(logName, err)
	}
	d.hardState = stored.HardState
	return stored, d.openLog()
}

// read returns a file's contents. A read error of the device counts as damage.
func (d *Disk) read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.path(name))
	if errors.Is(err, syscall.EIO) {
		return nil, d.damaged(name, err)
	}
	return data, err
}

func (d *Disk) loadSnapshot() (*consensus.Snapshot, error) {
	data, err := d.read(snapshotName)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read snapshot")
	}
	payload, rest, ok := readFrame(data)
	if !ok || len(rest) > 0 {
		return nil, eris.Wrapf(ErrDamaged, "file %s", d.path(snapshotName))
	}
	var s wirepb.Snapshot
	if err := proto.Unmarshal(payload, &s); err != nil || s.GetIndex() == 0 {
		return nil, eris.Wrapf(ErrDamaged, "file %s", d.path(snapshotName))
	}
	return wire.ToSnapshot(&s), nil
}

// loadLog replays the frames of the log and truncates a torn tail. It accepts a
// missing or empty log; replay.stored rejects it.
func (d *Disk) loadLog(r *replay) error {
	data, err := d.read(logName)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	rest := data
	for len(rest) > 0 {
		payload, after, ok := readFrame(rest)
		if !ok {
			return d.truncateTail(int64(len(data)-len(rest)), rest)
		}
		if err := r.add(payload); err != nil {
			return d.damaged(logName, err)
		}
		rest = after
	}
	return nil
}

// truncateTail removes an incomplete write (torn tail) that starts at offset.
// Bytes after the tail's own frame mean damage instead, since each write is
// synced before the next one starts. So does an incomplete first frame, since a
// rename put it in place whole. Damage to a complete last frame cannot be
// distinguished from an incomplete write.
func (d *Disk) truncateTail(offset int64, tail []byte) error {
	if offset == 0 || len(tail) > frameSize(tail) || containsFrame(tail[1:]) {
		return eris.Wrapf(ErrDamaged, "file %s at byte %d", d.path(logName), offset)
	}
	file, err := os.OpenFile(d.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(offset); err != nil {
		return eris.Wrap(err, "truncate torn tail")
	}
	return eris.Wrap(file.Sync(), "sync log")
}
