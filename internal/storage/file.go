package storage

import "io"

// File is an open log. A write counts only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}
