package storage

import "io"

// File is an open log file. Written data is durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}
