package faultinject

import (
	"context"
	"syscall"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/storage"
)

// File wraps a file and simulates a slow or full disk as set by a source.
type File struct {
	storage.File
	source *Source
}

// NewFile returns a wrapper of a file, which it closes when closed.
func NewFile(base storage.File, source *Source) *File { return &File{File: base, source: source} }

// Write writes to the wrapped file, or fails with ENOSPC on a full disk.
func (f *File) Write(data []byte) (int, error) {
	if f.source.Current().FailWrites {
		return 0, eris.Wrap(syscall.ENOSPC, "write")
	}
	return f.File.Write(data)
}

// Sync syncs the wrapped file after the delay of a slow disk.
func (f *File) Sync() error {
	clock.Pause(context.Background(), f.source.Current().SyncDelay.Value())
	return f.File.Sync()
}
