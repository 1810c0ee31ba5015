package storage

import (
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
	folder string
	lock   *os.File
	log    File
	// wrap stands between the disk and its log, or is nil.
	wrap      Through
	identity  Identity
	hardState consensus.HardState
	size      int64
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
	if err := d.lockFolder(); err != nil {
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
		d.hardState = *hard
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

// SetThrough puts something between the disk and its log, from now on.
func (d *Disk) SetThrough(through Through) {
	d.wrap = through
	d.log = through(d.log)
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
	if err := d.resetLog(s.Index, rest); err != nil {
		return err
	}
	_ = d.log.Close()
	return d.openLog()
}

// resetLog replaces the log by one that follows a snapshot. Its first frame is
// there from the start, so that a log without one has lost its contents.
func (d *Disk) resetLog(snapshot uint64, rest []consensus.Entry) error {
	frame, err := batchFrame(&wirepb.Batch{
		HardState: wire.FromHardState(&d.hardState), Entries: wire.FromEntries(rest), Snapshot: snapshot,
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

func (d *Disk) lockFolder() error {
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

func (d *Disk) damaged(name string, cause error) error {
	return eris.Wrapf(ErrDamaged, "file %s: %v", d.path(name), cause)
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
	if d.wrap != nil {
		d.log = d.wrap(file)
	}
	return syncFolder(d.folder)
}

func (d *Disk) path(name string) string { return filepath.Join(d.folder, name) }
