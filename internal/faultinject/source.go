// Package faultinject injects faults into the clock and the disk of a process. Only
// builds with the tag faults use it.
package faultinject

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
	"endivespring/internal/settings"
)

const pollInterval = 20 * time.Millisecond // time between two reads of the fault file; faults last longer

// Source reads the current faults from a fault file, which may be replaced at any
// time. Until the file exists there are no faults.
type Source struct {
	path    string
	current atomic.Pointer[Faults]
}

// NewSource returns a source without faults. Run reads the fault file at the path.
func NewSource(path string) *Source {
	s := &Source{path: path}
	s.current.Store(&Faults{ClockRate: 1})
	return s
}

// Current returns the faults in force. Callers must not change them.
func (s *Source) Current() *Faults { return s.current.Load() }

// Run rereads the file until the context ends. It fails if the file can't be read or
// has invalid content.
func (s *Source) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.reload(); err != nil {
			return err
		}
		clock.Pause(ctx, pollInterval)
	}
	return nil
}

func (s *Source) reload() error {
	data, err := os.ReadFile(s.path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read fault file")
	}
	var faults Faults
	if err := settings.Parse(s.path, data, &faults); err != nil {
		return err
	}
	s.current.Store(&faults)
	return nil
}
