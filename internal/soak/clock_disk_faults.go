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
	// syncDelay is a slow disk's time for each durable write: as long as the
	// shortest time after which a leader is given up.
	slowSyncDelay = 300 * time.Millisecond
	// clockSkew is how much faster or slower a clock runs. Two of them drift
	// apart by 36 ms over the longest lease of 3 s, which is within the 40 ms that
	// leases allow for drift.
	clockSkew = 0.006
)

// misbehaviourOf returns what a kind makes a process's clock and disk do.
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

// misbehave changes what a process's clock and disk do. The file is replaced at
// once, since the process may read it at any time.
func (f *testFleet) setFaults(name string, faults faultinject.Faults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode misbehaviour")
	}
	path := f.faultFile(name)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return eris.Wrap(err, "write misbehaviour")
	}
	return eris.Wrap(os.Rename(path+".new", path), "write misbehaviour")
}

func (f *testFleet) faultFile(name string) string { return filepath.Join(f.folder, name+".trial") }
