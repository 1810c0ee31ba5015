package controlnode

import (
	"endivespring/internal/fleet"
	"endivespring/internal/wire"
)

const changesKept = 64 // encoded changes

// encodedChanges keeps the encodings of changes that were sent lately. Changes
// are immutable once they are sent.
type encodedChanges struct {
	bytes map[*fleet.Change][]byte
}

func (e *encodedChanges) encode(change *fleet.Change) ([]byte, error) {
	if change == nil {
		return nil, nil
	}
	if data, ok := e.bytes[change]; ok {
		return data, nil
	}
	data, err := wire.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	if len(e.bytes) >= changesKept || e.bytes == nil {
		e.bytes = map[*fleet.Change][]byte{}
	}
	e.bytes[change] = data
	return data, nil
}
