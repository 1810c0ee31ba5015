package executor

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

// newMeasuredMeter returns a meter with rates of random keys, and 24 ranges that hold two
// thirds of all keys.
func newMeasuredMeter(keys int) (*keyMeter, []fleet.KeyRange) {
	random, m := rand.New(rand.NewPCG(1, 3)), newKeyMeter()
	for range keys {
		m.rates[random.Uint32N(fleet.KeyCount)] = 10 * random.ExpFloat64()
	}
	const size = fleet.KeyCount / 24
	var owned []fleet.KeyRange
	for i := range uint32(24) {
		owned = append(owned, fleet.KeyRange{First: i * size, Last: i*size + size*2/3})
	}
	return m, owned
}

// TestRowsAddUpTheOwnedKeys guards against keys that are counted in no row, in two rows, or in
// one of other keys: each row is compared with the sum over all keys. The ranges are also
// given in descending order, as no caller promises an order.
func TestRowsAddUpTheOwnedKeys(t *testing.T) {
	for _, keys := range []int{0, 5, 3000} {
		m, owned := newMeasuredMeter(keys)
		for range 2 {
			rows := m.rows(owned)
			hot, seen := map[uint32]bool{}, map[uint32]bool{}
			for _, row := range rows {
				if _, ok := m.rates[row.First]; ok && row.First == row.Last {
					hot[row.First] = true
				}
			}
			assert.Assert(t, len(hot) > 0 || keys == 0, "no key is reported alone")
			for _, row := range rows {
				assertRow(t, m, row, hot, seen)
			}
			for key, rate := range m.rates {
				held := false
				for _, r := range owned {
					held = held || r.First <= key && key <= r.Last
				}
				assert.Equal(t, seen[key], held, "key %d", key)
				for busy := range hot {
					assert.Assert(t, !held || hot[key] || rate <= m.rates[busy], "key %d has a higher rate than %d, which is reported alone", key, busy)
				}
			}
			for i, j := 0, len(owned)-1; i < j; i, j = i+1, j-1 {
				owned[i], owned[j] = owned[j], owned[i]
			}
		}
	}
}

func assertRow(t *testing.T, m *keyMeter, row session.KeyLoad, hot, seen map[uint32]bool) {
	t.Helper()
	sum := 0.0
	for key, rate := range m.rates {
		if key >= row.First && key <= row.Last && hot[key] == (row.First == row.Last) {
			assert.Assert(t, !seen[key], "key %d is in two rows", key)
			seen[key], sum = true, sum+rate
		}
	}
	assert.Assert(t, sum-row.Rate < 1e-6 && row.Rate-sum < 1e-6, "%+v, %f", row, sum)
}

// BenchmarkKeyMeterRows reports the load of 24 ranges with 3,000 measured keys.
func BenchmarkKeyMeterRows(b *testing.B) {
	m, owned := newMeasuredMeter(3000)
	for b.Loop() {
		m.rows(owned)
	}
}
