package storage

import "io"

// logFile is the open log. A write counts only after Sync.
type logFile interface {
	io.WriteCloser
	Sync() error
}
