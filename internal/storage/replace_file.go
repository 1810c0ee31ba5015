package storage

import (
	"os"

	"github.com/rotisserie/eris"
)

// replace replaces a file atomically: it writes and syncs a new file, renames it
// and syncs the folder. After a crash either the old or the new contents are
// there.
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

// syncFolder makes renames and new files in the folder durable.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return eris.Wrap(err, "open data folder")
	}
	defer func() { _ = f.Close() }()
	return eris.Wrap(f.Sync(), "sync data folder")
}
