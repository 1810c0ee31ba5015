package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// sentGrant is a grant that was sent to the upstream and may have given it a lease
// that ends by until.
type sentGrant struct {
	number      uint64
	first, last uint32
	epoch       fleet.Epoch
	sent, until clock.Instant
	// inFlight is set until the outcome is known, confirmed if the upstream applied
	// the grant. If neither is set, the upstream may apply it at any time until then.
	inFlight, confirmed bool
}

func (g *sentGrant) overlaps(first, last uint32) bool { return g.first <= last && g.last >= first }

func (g *sentGrant) covers(r *fleet.KeyRange) bool {
	return g.epoch == r.Epoch && g.first <= r.First && g.last >= r.Last
}
