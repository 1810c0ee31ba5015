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
	syncDelay = 300 * time.Millisecond
	// clockSkew is how much faster or slower a clock runs. Two of them drift
	// apart by 36 ms over the longest lease of 3 s, which is within the 40 ms that
	// leases allow for drift.
	clockSkew = 0.006
)

// misbehaviourOf returns what a kind makes a process's clock and disk do.
func misbehaviourOf(kind Kind) faultinject.Misbehaviour {
	m := faultinject.Misbehaviour{ClockRate: 1}
	switch kind {
	case SlowDisk:
		m.SyncDelay = settings.Duration(syncDelay)
	case FullDisk:
		m.FailWrites = true
	case SlowClock:
		m.ClockRate -= clockSkew
	case FastClock:
		m.ClockRate += clockSkew
	}
	return m
}

// misbehave changes what a process's clock and disk do. The file is replaced at
// once, since the process may read it at any time.
func (w *world) misbehave(name string, m faultinject.Misbehaviour) error {
	data, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode misbehaviour")
	}
	path := w.trialFile(name)
	if err := os.WriteFile(path+".new", data, fileMode); err != nil {
		return eris.Wrap(err, "write misbehaviour")
	}
	return eris.Wrap(os.Rename(path+".new", path), "write misbehaviour")
}

func (w *world) trialFile(name string) string { return filepath.Join(w.folder, name+".trial") }
