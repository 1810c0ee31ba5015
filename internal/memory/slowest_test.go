package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal of callers that get on, while others hold memory and have stopped.
func TestSlowestUserIsChosen(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	for name, c := range map[string]struct {
		users  []Usage
		chosen int // -1 for none
	}{
		"nobody":                            {nil, -1},
		"just begun":                        {[]Usage{{100_000, 0, 400 * ms, 400 * ms}}, -1},
		"holds nothing":                     {[]Usage{{0, 0, 9 * s, 9 * s}}, -1},
		"all at a fair rate":                {[]Usage{{100_000, 60_000, 2 * s, 10 * ms}, {64 << 20, 32 << 20, 4 * s, 0}}, -1},
		"stopped before slow":               {[]Usage{{100_000, 10, 9 * s, 10 * ms}, {100_000, 99_000, 2 * s, 1500 * ms}}, 1},
		"longest pause":                     {[]Usage{{1000, 10, 9 * s, 2 * s}, {1000, 10, 9 * s, 3 * s}, {1000, 10, 9 * s, s}}, 1},
		"slowest for what it holds":         {[]Usage{{100_000, 20_000, 3 * s, 0}, {64 << 20, 40_000, 3 * s, 0}}, 1},
		"large at a fair rate":              {[]Usage{{64 << 20, 2 << 20, 2 * s, 10 * ms}}, -1},
		"large below a fair rate":           {[]Usage{{64 << 20, 60 << 10, s, 10 * ms}}, 0},
		"pauses shorter than a lost packet": {[]Usage{{100_000, 60_000, 2 * s, 900 * ms}}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			slowest := Slowest[int]{}
			for i, usage := range c.users {
				slowest.Offer(i, usage)
			}
			chosen, ok := slowest.User()
			assert.Equal(t, ok, c.chosen >= 0)
			if ok {
				assert.Equal(t, chosen, c.chosen)
			}
		})
	}
}
