package metrics

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/event"
)

func TestRangeRequestsAreCounted(t *testing.T) {
	r := NewRegistry(event.NewLog(io.Discard, "test"))
	m := NewRangeMeter(r)
	m.Observe("grant", "applied")
	m.Observe("grant", "unanswered")
	m.Observe("grant", "unanswered")
	(*RangeMeter)(nil).Observe("grant", "applied")
	var text bytes.Buffer
	r.WriteText(&text)
	for _, line := range []string{
		`endivespring_range_requests_total{kind="grant",result="applied"} 1`, `endivespring_range_requests_total{kind="grant",result="unanswered"} 2`,
	} {
		assert.Assert(t, strings.Contains(text.String(), line+"\n"), "%s", text.String())
	}
}
