package controller

// StreamID identifies one stream of a router to this process. It is not reused.
type StreamID uint64
