package faultinject

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

type fixedClock clock.Instant

func (c *fixedClock) Now() clock.Instant { return clock.Instant(*c) }

type memoryFile struct {
	data   []byte
	synced int
}

func (f *memoryFile) Write(data []byte) (int, error) {
	f.data = append(f.data, data...)
	return len(data), nil
}

func (f *memoryFile) Sync() error {
	f.synced++
	return nil
}

func (f *memoryFile) Close() error { return nil }

// TestClockRateChangeIsContinuous guards against a clock that jumps when its rate
// changes.
func TestClockRateChangeIsContinuous(t *testing.T) {
	base, source := fixedClock(0), NewSource("")
	c := NewClock(&base, source)
	want := clock.Instant(0)
	for _, rate := range []float64{0.5, 2, 1} {
		source.current.Store(&Faults{ClockRate: rate})
		assert.Equal(t, c.Now(), want)
		base += fixedClock(time.Second)
		want = want.Add(time.Duration(rate * float64(time.Second)))
		assert.Equal(t, c.Now(), want)
	}
}

func TestSlowAndFullDisk(t *testing.T) {
	source, base := NewSource(""), &memoryFile{}
	f := NewFile(base, source)
	source.current.Store(&Faults{SyncDelay: 50_000_000, ClockRate: 1})
	start := time.Now()
	_, err := f.Write([]byte("a"))
	assert.NilError(t, err)
	assert.NilError(t, f.Sync())
	assert.Assert(t, time.Since(start) >= 50*time.Millisecond && base.synced == 1)
	source.current.Store(&Faults{FailWrites: true, ClockRate: 1})
	_, err = f.Write([]byte("b"))
	assert.ErrorContains(t, err, "no space left")
	assert.Equal(t, string(base.data), "a")
}

func TestSourceReloadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trial")
	source := NewSource(path)
	assert.NilError(t, source.reload())
	assert.Equal(t, source.Current().ClockRate, 1.0)
	assert.NilError(t, os.WriteFile(path, []byte(`{"failWrites": true}`), 0o600))
	assert.NilError(t, source.reload())
	assert.Assert(t, source.Current().FailWrites)
	assert.NilError(t, os.WriteFile(path, []byte(`{"clockRate": 9}`), 0o600))
	assert.ErrorContains(t, source.Run(context.Background()), "clockRate")
}
