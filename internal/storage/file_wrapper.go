package storage

// Through wraps a log file, for fault injection.
type Through func(File) File
