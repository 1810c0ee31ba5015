package wire

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"endivespring/internal/wire/wirepb"
)

// TestPartsOfAChangeAreJoined splits messages with changes of many sizes and joins them.
func TestPartsOfAChangeAreJoined(t *testing.T) {
	joiner := &DownJoiner{}
	for _, size := range []int{0, 1, maxPart - 1, maxPart, maxPart + 1, 2 * maxPart, 10*maxPart + 7} {
		whole := &wirepb.SessionDown{Session: 3, Sequence: 4, Lease: true, Change: bytes.Repeat([]byte{byte(size), 1, 2}, size)[:size], Version: 9, ViewNs: 5, Members: []string{"a"}}
		want := proto.Clone(whole)
		parts := SplitDown(whole)
		for i, part := range parts {
			assert.Assert(t, len(part.GetChange()) <= maxPart)
			complete, err := joiner.Add(part)
			assert.NilError(t, err)
			assert.Equal(t, complete, i == len(parts)-1)
		}
		assert.Assert(t, proto.Equal(parts[len(parts)-1], want), "size %d", size)
	}
}

// TestBrokenPartsAreRefused drops a part, and announces more parts than a change may have.
func TestBrokenPartsAreRefused(t *testing.T) {
	parts := SplitDown(&wirepb.SessionDown{Change: make([]byte, 4*maxPart)})
	joiner := &DownJoiner{}
	_, err := joiner.Add(parts[0])
	assert.NilError(t, err)
	_, err = joiner.Add(parts[2])
	assert.Assert(t, err != nil)
	_, err = (&DownJoiner{}).Add(&wirepb.SessionDown{PartsLeft: maxParts + 1})
	assert.Assert(t, err != nil)
}

// TestEveryFieldOutlivesASplit guards against a field that SplitDown forgets.
func TestEveryFieldOutlivesASplit(t *testing.T) {
	whole := &wirepb.SessionDown{Change: make([]byte, 2*maxPart)}
	fields := whole.ProtoReflect().Descriptor().Fields()
	assert.Equal(t, fields.Len(), 13, "a new field of SessionDown must be copied by SplitDown")
}
