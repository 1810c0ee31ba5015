package controller

// StreamID names one stream from a router to this process.
type StreamID uint64
