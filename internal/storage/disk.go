package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/consensus"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// Errors of Open.
var (
	// ErrDamaged means that records in the middle of the log or the snapshot
	// cannot be read: the disk counts as lost.
	ErrDamaged = eris.New("stored state is damaged")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = eris.New("data folder is in use by another process")
	// ErrForeign means that the data folder belongs to another fleet or voter.
	ErrForeign = eris.New("data folder belongs to another fleet or control process")
)

const (
	identityName = "identity.json"
	logName      = "log"
	snapshotName = "snapshot"
	lockName     = "lock"
	folderMode   = 0o750
	fileMode     = 0o640
	diskIDBytes  = 8
)

// Disk is an open data folder. It is owned by one duty. A folder restored from
// an older copy is not recognised: it must never be put back under its name.
type Disk struct {
	folder   string
	lock     *os.File
	log      logFile
	identity Identity
	hard     consensus.HardState
	size     int64
}

// Open opens the data folder, which must exist, for a voter of a fleet and
// returns what it holds. A torn last record is cut. On ErrDamaged the caller
// may call SetAside and open again.
func Open(folder, fleet, name string) (*Disk, *consensus.Stored, error) {
	info, err := os.Stat(folder)
	if err != nil || !info.IsDir() {
		return nil, nil, eris.Errorf("data folder %q does not exist", folder)
	}
	d := &Disk{folder: folder}
	if err := d.acquire(); err != nil {
		return nil, nil, err
	}
	stored, err := d.load(fleet, name)
	if err != nil {
		_ = d.Close()
		return nil, nil, err
	}
	return d, stored, nil
}

// SetAside moves damaged files into a subfolder, so that the next Open makes a
// new disk identity. It returns the subfolder.
func SetAside(folder string) (string, error) {
	aside := filepath.Join(folder, "damaged-"+time.Now().UTC().Format("20060102T150405.000000000"))
	if err := os.Mkdir(aside, folderMode); err != nil {
		return "", eris.Wrap(err, "set damaged files aside")
	}
	for _, name := range []string{identityName, logName, snapshotName} {
		err := os.Rename(filepath.Join(folder, name), filepath.Join(aside, name))
		if err != nil && !os.IsNotExist(err) {
			return "", eris.Wrap(err, "set damaged files aside")
		}
	}
	return aside, syncFolder(folder)
}

// Identity returns the disk's identity.
func (d *Disk) Identity() Identity { return d.identity }

// NodeID returns the identity as a consensus node.
func (d *Disk) NodeID() consensus.NodeID {
	return consensus.NodeID{Name: d.identity.Name, Disk: d.identity.Disk}
}

// Size returns the length of the log file in bytes.
func (d *Disk) Size() int64 { return d.size }

// Append stores a hard state, if not nil, and entries, and syncs them. After
// an error the disk's contents are unknown and the process must end.
func (d *Disk) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		d.hard = *hard
	}
	frame, err := batchFrame(&wirepb.Batch{HardState: wire.FromHardState(hard), Entries: wire.FromEntries(entries)})
	if err != nil {
		return err
	}
	if _, err := d.log.Write(frame); err != nil {
		return eris.Wrap(err, "append to log")
	}
	d.size += int64(len(frame))
	return eris.Wrap(d.log.Sync(), "sync log")
}

// Compact stores a snapshot and replaces the log by the entries after it.
func (d *Disk) Compact(s *consensus.Snapshot, rest []consensus.Entry) error {
	payload, err := proto.Marshal(wire.FromSnapshot(s))
	if err != nil {
		return eris.Wrap(err, "encode snapshot")
	}
	if err := d.replace(snapshotName, appendFrame(nil, payload)); err != nil {
		return err
	}
	if err := d.startLog(s.Index, rest); err != nil {
		return err
	}
	_ = d.log.Close()
	return d.openLog()
}

// startLog replaces the log by one that follows a snapshot. Its first frame is
// there from the start, so that a log without one has lost its contents.
func (d *Disk) startLog(snapshot uint64, rest []consensus.Entry) error {
	frame, err := batchFrame(&wirepb.Batch{
		HardState: wire.FromHardState(&d.hard), Entries: wire.FromEntries(rest), Snapshot: snapshot,
	})
	if err != nil {
		return err
	}
	return d.replace(logName, frame)
}

// Close releases the data folder.
func (d *Disk) Close() error {
	if d.log != nil {
		_ = d.log.Close()
	}
	return eris.Wrap(d.lock.Close(), "release data folder")
}

func batchFrame(batch *wirepb.Batch) ([]byte, error) {
	payload, err := proto.Marshal(batch)
	return appendFrame(nil, payload), eris.Wrap(err, "encode batch")
}

func (d *Disk) acquire() error {
	lock, err := os.OpenFile(d.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return eris.Wrapf(ErrLocked, "folder %q", d.folder)
	}
	d.lock = lock
	return nil
}

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
	d.hard = stored.HardState
	return stored, d.openLog()
}

func (d *Disk) damaged(name string, cause error) error {
	return eris.Wrapf(ErrDamaged, "file %s: %v", d.path(name), cause)
}

// read returns a file's contents. A disk that cannot give them back is damaged.
func (d *Disk) read(name string) ([]byte, error) {
	data, err := os.ReadFile(d.path(name))
	if errors.Is(err, syscall.EIO) {
		return nil, d.damaged(name, err)
	}
	return data, err
}

func (d *Disk) loadIdentity(fleet, name string) error {
	data, err := d.read(identityName)
	if os.IsNotExist(err) {
		return d.createIdentity(fleet, name)
	}
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	if err := json.Unmarshal(data, &d.identity); err != nil || d.identity.Disk == "" {
		return eris.Wrapf(ErrDamaged, "file %s", d.path(identityName))
	}
	if d.identity.Fleet != fleet || d.identity.Name != name {
		return eris.Wrapf(ErrForeign, "folder %q is of %s in fleet %s", d.folder, d.identity.Name, d.identity.Fleet)
	}
	return nil
}

// createIdentity starts an empty log and then makes a new identity, so that an
// identity without a log means that the log was lost.
func (d *Disk) createIdentity(fleet, name string) error {
	if err := d.checkUnused(); err != nil {
		return err
	}
	if err := d.startLog(0, nil); err != nil {
		return err
	}
	var id [diskIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return eris.Wrap(err, "make disk identity")
	}
	d.identity = Identity{Fleet: fleet, Name: name, Disk: hex.EncodeToString(id[:])}
	data, err := json.Marshal(d.identity)
	if err != nil {
		return eris.Wrap(err, "encode identity")
	}
	return d.replace(identityName, data)
}

// checkUnused reports damage if the folder holds state but no identity: its
// votes cannot be attributed.
func (d *Disk) checkUnused() error {
	if _, err := os.Stat(d.path(snapshotName)); err == nil {
		return eris.Wrapf(ErrDamaged, "folder %q has a snapshot but no %s", d.folder, identityName)
	}
	data, err := d.read(logName)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	unused, err := batchFrame(&wirepb.Batch{HardState: wire.FromHardState(&consensus.HardState{})})
	if err == nil && len(data) > 0 && !bytes.Equal(data, unused) {
		return eris.Wrapf(ErrDamaged, "folder %q has a log but no %s", d.folder, identityName)
	}
	return err
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

func (d *Disk) loadLog(r *replay) error {
	data, err := d.read(logName)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrap(err, "read log")
	}
	rest := data
	for len(rest) > 0 {
		payload, after, ok := readFrame(rest)
		if !ok {
			return d.cutTail(int64(len(data)-len(rest)), rest)
		}
		if err := r.add(payload); err != nil {
			return d.damaged(logName, err)
		}
		rest = after
	}
	return nil
}

// cutTail truncates an unfinished write. Anything behind the frame proves
// damage instead, since each write is synced before the next begins; so does a
// first frame that is not whole, since it was put in place by a rename. Damage
// to the whole last frame cannot be told from an unfinished write.
func (d *Disk) cutTail(offset int64, tail []byte) error {
	if offset == 0 || len(tail) > frameSize(tail) || containsFrame(tail[1:]) {
		return eris.Wrapf(ErrDamaged, "file %s at byte %d", d.path(logName), offset)
	}
	file, err := os.OpenFile(d.path(logName), os.O_RDWR, fileMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(offset); err != nil {
		return eris.Wrap(err, "cut torn record")
	}
	return eris.Wrap(file.Sync(), "sync log")
}

func (d *Disk) openLog() error {
	file, err := os.OpenFile(d.path(logName), os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	info, err := file.Stat()
	if err != nil {
		return eris.Wrap(err, "stat log")
	}
	d.log, d.size = file, info.Size()
	return syncFolder(d.folder)
}

// replace writes a file atomically: a new file is synced, renamed and the
// folder synced.
func (d *Disk) replace(name string, data []byte) error {
	temporary := d.path(name + ".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "write %s", name)
	}
	_, writeErr := file.Write(data)
	syncErr := file.Sync()
	closeErr := file.Close()
	for _, err := range []error{writeErr, syncErr, closeErr} {
		if err != nil {
			return eris.Wrapf(err, "write %s", name)
		}
	}
	if err := os.Rename(temporary, d.path(name)); err != nil {
		return eris.Wrapf(err, "rename %s", name)
	}
	return syncFolder(d.folder)
}

func (d *Disk) path(name string) string { return filepath.Join(d.folder, name) }

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	defer func() { _ = f.Close() }()
	return eris.Wrap(f.Sync(), "sync data folder")
}
