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
	// ErrDamaged means that the log, the snapshot or the identity cannot be
	// read, or is missing although another file shows that it existed: the disk
	// counts as lost. A torn tail of the log is not damage.
	ErrDamaged = eris.New("stored state is damaged")
	// ErrLocked means that another process uses the data folder.
	ErrLocked = eris.New("data folder is in use by another process")
	// ErrForeign means that the data folder belongs to another fleet or node.
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

// Disk is an open data folder with a write-ahead log, a snapshot and an identity.
// It is owned by one duty. A folder that was restored from a backup is not
// detected: it may lack votes and acknowledged entries, so it must never be put
// back under its name.
type Disk struct {
	folder string
	lock   *os.File
	log    File
	// wrap, if not nil, wraps each log file that is opened.
	wrap      FileWrapper
	identity  Identity
	hardState consensus.HardState
	size      int64
}

// Open locks the data folder, which must exist, for the named node of a fleet
// and returns what it holds. A torn tail of the log is truncated. After
// ErrDamaged the caller may quarantine the files and open again.
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

// Quarantine moves damaged files into a new subfolder and returns its path.
// The next Open generates a new disk ID, so that the node joins as a new one.
func Quarantine(folder string) (string, error) {
	quarantine := filepath.Join(folder, "damaged-"+time.Now().UTC().Format("20060102T150405.000000000"))
	if err := os.Mkdir(quarantine, folderMode); err != nil {
		return "", eris.Wrap(err, "quarantine damaged files")
	}
	for _, name := range []string{identityName, logName, snapshotName} {
		err := os.Rename(filepath.Join(folder, name), filepath.Join(quarantine, name))
		if err != nil && !os.IsNotExist(err) {
			return "", eris.Wrap(err, "quarantine damaged files")
		}
	}
	return quarantine, syncFolder(folder)
}

// Identity returns the identity stored in the data folder.
func (d *Disk) Identity() Identity { return d.identity }

// NodeID returns the node's name and disk ID in the consensus group.
func (d *Disk) NodeID() consensus.NodeID {
	return consensus.NodeID{Name: d.identity.Name, Disk: d.identity.Disk}
}

// Size returns the length of the log file in bytes.
func (d *Disk) Size() int64 { return d.size }

// Append writes a hard state, if not nil, and entries to the log as one record
// and syncs it. It returns only once they are on disk. After an error it is
// unknown what the disk holds, and the process must end.
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

// WrapLog wraps the current log file and those opened later, for fault
// injection.
func (d *Disk) WrapLog(wrap FileWrapper) {
	d.wrap = wrap
	d.log = wrap(d.log)
}

// Compact stores a snapshot and replaces the log by the entries after it. The
// snapshot is on disk before the log is replaced; a crash between the two is
// handled by Open.
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

// resetLog atomically replaces the log by one that follows a snapshot. The new
// log has a first frame from the start: a log without a whole first frame has
// lost its contents.
func (d *Disk) resetLog(snapshot uint64, rest []consensus.Entry) error {
	frame, err := batchFrame(&wirepb.Batch{
		HardState: wire.FromHardState(&d.hardState), Entries: wire.FromEntries(rest), Snapshot: snapshot,
	})
	if err != nil {
		return err
	}
	return d.replace(logName, frame)
}

// Close closes the log and releases the lock on the data folder.
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

// lockFolder locks the data folder against other processes until Close.
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

// openLog opens the log for appending. The folder is synced, so that the log's
// name is on disk before the first append is acknowledged.
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
