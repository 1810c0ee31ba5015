package wire

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/wire/wirepb"
)

// FuzzDownJoiner joins parts in any order and of any size. A message is complete only if no
// part is left, and nothing panics.
func FuzzDownJoiner(f *testing.F) {
	f.Add([]byte{2, 1, 0, 0}, uint16(9))
	f.Add([]byte{3, 1, 0}, uint16(0))
	f.Add([]byte{0, 5, 5}, uint16(1))
	f.Fuzz(func(t *testing.T, left []byte, size uint16) {
		joiner := &DownJoiner{}
		for _, n := range left {
			part := &wirepb.SessionDown{PartsLeft: uint32(n), Change: make([]byte, size)}
			complete, err := joiner.Add(part)
			if err != nil {
				return
			}
			assert.Equal(t, complete, n == 0)
		}
	})
}
