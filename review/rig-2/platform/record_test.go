package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) since() float64 { return time.Since(r.start).Seconds() }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say notes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", r.since(), fmt.Sprintf(format, args...))
}
