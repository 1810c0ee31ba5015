package faultinject

import (
	"context"
	"syscall"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/storage"
)

// File is a file on a disk that is slow or full when a source says so.
type File struct {
	storage.File
	source *Source
}

// NewFile returns a file in place of another one.
func NewFile(base storage.File, source *Source) *File { return &File{File: base, source: source} }

// Write writes unless the disk is full.
func (f *File) Write(data []byte) (int, error) {
	if f.source.Current().FailWrites {
		return 0, eris.Wrap(syscall.ENOSPC, "write")
	}
	return f.File.Write(data)
}

// Sync makes what was written durable, later than the disk would.
func (f *File) Sync() error {
	clock.Pause(context.Background(), f.source.Current().SyncDelay.Value())
	return f.File.Sync()
}
