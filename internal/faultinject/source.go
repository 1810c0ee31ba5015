// Package faultinject lets the clock and the disk of a process misbehave, for fault
// injection. Only builds with the tag faults put it in use.
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

const pollInterval = 20 * time.Millisecond // time between looks at the file; faults last longer

// Source reads what misbehaves from a file that may change at any time. No file
// means that nothing does.
type Source struct {
	path    string
	current atomic.Pointer[Faults]
}

// NewSource returns a source of a file.
func NewSource(path string) *Source {
	s := &Source{path: path}
	s.current.Store(&Faults{ClockRate: 1})
	return s
}

// Current returns what misbehaves now.
func (s *Source) Current() *Faults { return s.current.Load() }

// Run follows the file until the context ends.
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
		return eris.Wrap(err, "read misbehaviour")
	}
	var faults Faults
	if err := settings.Parse(s.path, data, &faults); err != nil {
		return err
	}
	s.current.Store(&faults)
	return nil
}
