package storage

// FileWrapper wraps a log file, for fault injection.
type FileWrapper func(File) File
