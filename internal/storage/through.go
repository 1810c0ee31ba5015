package storage

// Through returns a file in place of another one, for fault injection.
type Through func(File) File
