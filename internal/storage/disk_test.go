package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"endivespring/internal/consensus"
)

var errDisk = eris.New("disk failed")

// failingLog is a log file whose writes or syncs fail with the given errors.
type failingLog struct {
	File
	write, sync error
}

func (f failingLog) Write(data []byte) (int, error) {
	if f.write != nil {
		return 0, f.write
	}
	return f.File.Write(data)
}

func (f failingLog) Sync() error { return f.sync }

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

func open(t testing.TB, folder string) (*Disk, *consensus.Stored) {
	d, stored, err := Open(folder, "fleet", "c1")
	assert.NilError(t, err)
	return d, stored
}

func openError(folder string) error {
	d, _, err := Open(folder, "fleet", "c1")
	if err == nil {
		_ = d.Close()
	}
	return err
}

func file(folder, name string) string { return filepath.Join(folder, name) }

func read(t testing.TB, folder, name string) []byte {
	data, err := os.ReadFile(file(folder, name))
	assert.NilError(t, err)
	return data
}

func write(t testing.TB, folder, name string, data []byte) {
	assert.NilError(t, os.WriteFile(file(folder, name), data, fileMode))
}

// newFilledFolder returns a data folder with a snapshot at index 5 and a log of
// three batches after it, and the length of the log after the first and after
// the second batch.
func newFilledFolder(t testing.TB) (folder string, lengths []int) {
	folder = t.TempDir()
	d, _ := open(t, folder)
	vote := consensus.NodeID{Name: "c2", Disk: "x"}
	assert.NilError(t, d.Append(&consensus.HardState{Term: 2, Vote: vote}, []consensus.Entry{entry(1, 1), entry(2, 2), entry(3, 2), entry(4, 2), entry(5, 2)}))
	assert.NilError(t, d.Compact(&consensus.Snapshot{Index: 5, Term: 2, Data: []byte("state")}, []consensus.Entry{entry(6, 2)}))
	lengths = append(lengths, int(d.Size()))
	assert.NilError(t, d.Append(nil, []consensus.Entry{entry(7, 2), entry(8, 2)}))
	lengths = append(lengths, int(d.Size()))
	assert.NilError(t, d.Append(&consensus.HardState{Term: 3, Vote: vote}, []consensus.Entry{entry(8, 3), entry(9, 3)}))
	assert.NilError(t, d.Close())
	return folder, lengths
}

func positions(stored *consensus.Stored) [][2]uint64 {
	var out [][2]uint64
	for _, e := range stored.Entries {
		out = append(out, [2]uint64{e.Index, e.Term})
	}
	return out
}

func TestReopen(t *testing.T) {
	folder, _ := newFilledFolder(t)
	d, stored := open(t, folder)
	assert.DeepEqual(t, positions(stored), [][2]uint64{{6, 2}, {7, 2}, {8, 3}, {9, 3}})
	assert.Equal(t, stored.Snapshot.Index, uint64(5))
	assert.Equal(t, stored.HardState.Term, uint64(3))
	assert.ErrorIs(t, openError(folder), ErrLocked)
	_, _, err := Open(folder, "fleet", "c1")
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, d.Close())
	_, _, err = Open(folder, "fleet", "c2")
	assert.ErrorIs(t, err, ErrForeign)
}

// TestTornTail cuts the log at every byte of its last frame, which must be
// truncated, and of its first frame, which must count as damage.
func TestTornTail(t *testing.T) {
	folder, lengths := newFilledFolder(t)
	log := read(t, folder, logName)
	for length := lengths[1]; length < len(log); length++ {
		write(t, folder, logName, log[:length])
		d, stored := open(t, folder)
		assert.DeepEqual(t, positions(stored), [][2]uint64{{6, 2}, {7, 2}, {8, 2}})
		assert.Equal(t, d.Size(), int64(lengths[1]))
		assert.NilError(t, d.Append(nil, []consensus.Entry{entry(9, 2)}))
		assert.NilError(t, d.Close())
		d, stored = open(t, folder)
		assert.Equal(t, len(stored.Entries), 4)
		assert.NilError(t, d.Close())
	}
	for length := range lengths[0] {
		write(t, folder, logName, log[:length])
		assert.ErrorIs(t, openError(folder), ErrDamaged, "first frame cut at %d", length)
		assert.Equal(t, len(read(t, folder, logName)), length) // unchanged, for examination
	}
}

// TestDamage flips bits in every byte before the last frame, in every byte of the
// snapshot, and in the payloads of the last two frames together. None of these
// may be taken for a torn tail.
func TestDamage(t *testing.T) {
	folder, lengths := newFilledFolder(t)
	for name, end := range map[string]int{logName: lengths[1], snapshotName: len(read(t, folder, snapshotName))} {
		whole := read(t, folder, name)
		for at := range end {
			for _, bit := range []byte{1, 0x80} {
				data := append([]byte(nil), whole...)
				data[at] ^= bit
				write(t, folder, name, data)
				assert.ErrorIs(t, openError(folder), ErrDamaged, "%s byte %d", name, at)
			}
		}
		write(t, folder, name, whole)
	}
	log := read(t, folder, logName)
	log[lengths[1]-1] ^= 1
	log[len(log)-1] ^= 1
	write(t, folder, logName, log)
	assert.ErrorIs(t, openError(folder), ErrDamaged)
}

// TestMissingFiles removes or truncates files in ways that no crash can cause:
// each counts as damage, and after the quarantine the node gets a new disk ID.
func TestMissingFiles(t *testing.T) {
	for name, change := range map[string]func(folder string){
		"no identity":      func(folder string) { _ = os.Remove(file(folder, identityName)) },
		"no log":           func(folder string) { _ = os.Remove(file(folder, logName)) },
		"empty log":        func(folder string) { _ = os.Truncate(file(folder, logName), 0) },
		"no snapshot":      func(folder string) { _ = os.Remove(file(folder, snapshotName)) },
		"damaged identity": func(folder string) { _ = os.Truncate(file(folder, identityName), 9) },
		"log without both": func(folder string) {
			_ = os.Remove(file(folder, identityName))
			_ = os.Remove(file(folder, snapshotName))
		},
		"snapshot without both": func(folder string) { _ = os.Remove(file(folder, identityName)); _ = os.Remove(file(folder, logName)) },
	} {
		t.Run(name, func(t *testing.T) {
			folder, _ := newFilledFolder(t)
			d, _ := open(t, folder)
			old := d.Identity().Disk
			assert.NilError(t, d.Close())
			change(folder)
			assert.ErrorIs(t, openError(folder), ErrDamaged)
			_, err := Quarantine(folder)
			assert.NilError(t, err)
			d, stored := open(t, folder)
			assert.Assert(t, d.Identity().Disk != old)
			assert.DeepEqual(t, stored, &consensus.Stored{})
			assert.NilError(t, d.Close())
		})
	}
}

// TestCrashWhileCreated reopens a folder after a crash between the first log and
// the rename of the identity: the folder is still unused.
func TestCrashWhileCreated(t *testing.T) {
	folder := t.TempDir()
	d, _ := open(t, folder)
	assert.NilError(t, d.Close())
	assert.NilError(t, os.Remove(file(folder, identityName)))
	write(t, folder, identityName+".new", []byte("{"))
	d, stored := open(t, folder)
	assert.DeepEqual(t, stored, &consensus.Stored{})
	assert.NilError(t, d.Close())
}

// TestCrashWhileCompacting reopens a folder after a crash between the renames of
// the snapshot and of the log. The snapshot's last entry is in the log, in the
// log with another term, or beyond its end; only in the first case are the
// entries after it kept.
func TestCrashWhileCompacting(t *testing.T) {
	for _, c := range []struct {
		snapshot consensus.Snapshot
		rest     [][2]uint64
	}{
		{consensus.Snapshot{Index: 7, Term: 2}, [][2]uint64{{8, 3}, {9, 3}}},
		{consensus.Snapshot{Index: 9, Term: 3}, nil},
		{consensus.Snapshot{Index: 7, Term: 4}, nil},
		{consensus.Snapshot{Index: 50, Term: 4}, nil},
	} {
		folder, _ := newFilledFolder(t)
		log := read(t, folder, logName)
		d, _ := open(t, folder)
		assert.NilError(t, d.Compact(&c.snapshot, nil))
		assert.NilError(t, d.Close())
		write(t, folder, logName, log)
		write(t, folder, logName+".new", log[:20])
		d, stored := open(t, folder)
		assert.Equal(t, stored.Snapshot.Index, c.snapshot.Index)
		assert.DeepEqual(t, positions(stored), c.rest)
		assert.Equal(t, stored.HardState.Term, uint64(3))
		assert.NilError(t, d.Compact(&c.snapshot, stored.Entries))
		assert.NilError(t, d.Close())
		d, stored = open(t, folder)
		assert.DeepEqual(t, positions(stored), c.rest)
		assert.NilError(t, d.Close())
	}
}

// TestFailedWritesAreReported checks that no failed write or sync passes for a
// stored one.
func TestFailedWritesAreReported(t *testing.T) {
	d, _ := open(t, t.TempDir())
	log := d.log
	for _, failing := range []failingLog{{log, errDisk, nil}, {log, nil, errDisk}} {
		d.log = failing
		assert.ErrorIs(t, d.Append(&consensus.HardState{Term: 1}, nil), errDisk)
	}
	assert.NilError(t, os.RemoveAll(d.folder))
	assert.Assert(t, d.Compact(&consensus.Snapshot{Index: 1, Term: 1}, nil) != nil)
}

// FuzzOpen opens arbitrary log and snapshot bytes. They either count as damage or
// give the same state when opened again.
func FuzzOpen(f *testing.F) {
	folder, lengths := newFilledFolder(f)
	log, snapshot := read(f, folder, logName), read(f, folder, snapshotName)
	f.Add(log, snapshot)
	f.Add(log[:lengths[1]+3], snapshot)
	f.Add(log[:lengths[0]], []byte{})
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		folder := t.TempDir()
		d, _ := open(t, folder)
		assert.NilError(t, d.Close())
		write(t, folder, logName, log)
		if len(snapshot) > 0 {
			write(t, folder, snapshotName, snapshot)
		}
		d, first, err := Open(folder, "fleet", "c1")
		if err != nil {
			assert.ErrorIs(t, err, ErrDamaged)
			return
		}
		assert.NilError(t, d.Close())
		d, second := open(t, folder)
		assert.DeepEqual(t, first, second)
		assert.NilError(t, d.Close())
	})
}

// BenchmarkRestart opens a folder with 100,000 entries, with a snapshot every
// 4,096 entries and without any.
func BenchmarkRestart(b *testing.B) {
	const entries, batch = 100_000, 100
	for name, every := range map[string]uint64{"compacted": 4096, "whole": entries + 1} {
		b.Run(name, func(b *testing.B) {
			folder := b.TempDir()
			d, _ := open(b, folder)
			last := uint64(0)
			for index := uint64(1); index <= entries; index += batch {
				var list []consensus.Entry
				for i := range uint64(batch) {
					list = append(list, consensus.Entry{Index: index + i, Term: 1, Data: make([]byte, 200)})
				}
				assert.NilError(b, d.Append(nil, list))
				if at := index + batch - 1; at >= last+every {
					last = at
					assert.NilError(b, d.Compact(&consensus.Snapshot{Index: at, Term: 1, Data: make([]byte, 1<<20)}, nil))
				}
			}
			assert.NilError(b, d.Close())
			for b.Loop() {
				d, stored := open(b, folder)
				assert.Equal(b, last+uint64(len(stored.Entries)), uint64(entries))
				assert.NilError(b, d.Close())
			}
		})
	}
}
