package controlnode

import (
	"endivespring/internal/fleet"
	"endivespring/internal/wire"
)

// changeCacheSize is the number of entries at which the cache is cleared, since
// it would otherwise keep every change in memory.
const changeCacheSize = 64

// changeCache maps view changes to their encodings, so that a change for many
// streams is encoded once. The keys are pointers: changes are immutable once
// sent.
type changeCache struct {
	encoded map[*fleet.Change][]byte
}

func (c *changeCache) encode(change *fleet.Change) ([]byte, error) {
	if change == nil {
		return nil, nil
	}
	if data, ok := c.encoded[change]; ok {
		return data, nil
	}
	data, err := wire.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	if len(c.encoded) >= changeCacheSize || c.encoded == nil {
		c.encoded = map[*fleet.Change][]byte{}
	}
	c.encoded[change] = data
	return data, nil
}
