package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUpstreamNewerThanRouter(t *testing.T) {
	for _, c := range []struct {
		start    int64
		sequence uint64
		after    bool
	}{{1001, 1, true}, {901, 2, true}, {900, 1, false}, {1, 1, false}, {1001, 3, false}} {
		h := Heartbeat{Sequence: c.sequence}
		h.Upstream.StartMillis = c.start
		assert.Equal(t, h.NewerThanRouter(1000), c.after, "%+v", c)
	}
}
