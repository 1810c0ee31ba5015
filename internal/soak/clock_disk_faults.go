package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/faultinject"
	"endivespring/internal/settings"
)

const (
	// slowSyncDelay is the time that a slow disk adds to each sync: the shortest
	// election timeout of a follower.
	slowSyncDelay = 300 * time.Millisecond
	// clockSkew is how much faster or slower a clock runs. A fast and a slow clock
	// drift apart by 36 ms over the longest lease of 3 s, within the 40 ms that
	// leases allow for drift.
	clockSkew = 0.006
)

// faultsOf returns the clock and disk faults of a kind; none for other kinds.
func faultsOf(kind Kind) faultinject.Faults {
	faults := faultinject.Faults{ClockRate: 1}
	switch kind {
	case SlowDisk:
		faults.SyncDelay = settings.Duration(slowSyncDelay)
	case FullDisk:
		faults.FailWrites = true
	case SlowClock:
		faults.ClockRate -= clockSkew
	case FastClock:
		faults.ClockRate += clockSkew
	}
	return faults
}

// setFaults writes the clock and disk faults of a process to its fault file. The
// file is replaced by a rename, since the process may read it at any time.
func (f *testFleet) setFaults(name string, faults faultinject.Faults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode clock and disk faults")
	}
	path := f.faultFile(name)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return eris.Wrap(err, "write fault file")
	}
	return eris.Wrap(os.Rename(path+".new", path), "write fault file")
}

func (f *testFleet) faultFile(name string) string { return filepath.Join(f.folder, name+".trial") }
