package controlnode

import (
	"endivespring/internal/fleet"
	"endivespring/internal/wire"
)

const changeCacheSize = 64 // entries after which the cache is cleared

// changeCache maps view changes to their encodings, so that a change for many
// streams is encoded once. The pointer is the key, which is valid because
// changes are immutable once they are sent.
type changeCache struct {
	encoded map[*fleet.Change][]byte
}

func (e *changeCache) encode(change *fleet.Change) ([]byte, error) {
	if change == nil {
		return nil, nil
	}
	if data, ok := e.encoded[change]; ok {
		return data, nil
	}
	data, err := wire.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	if len(e.encoded) >= changeCacheSize || e.encoded == nil {
		e.encoded = map[*fleet.Change][]byte{}
	}
	e.encoded[change] = data
	return data, nil
}
