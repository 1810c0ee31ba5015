package lease

import (
	"time"

	"endivespring/internal/clock"
)

// maxOutstanding bounds the renewals that await an answer.
const maxOutstanding = 64

// Holder is the router's side of its leases.
type Holder struct {
	sentAt          map[uint64]clock.Instant
	sequence        uint64
	ownershipExpiry clock.Instant
	viewExpiry      clock.Instant
}

// NewHolder returns a holder without a lease.
func NewHolder() *Holder { return &Holder{sentAt: map[uint64]clock.Instant{}} }

// Renew returns the number of a renewal that is sent now.
func (h *Holder) Renew(now clock.Instant) uint64 {
	h.sequence++
	h.sentAt[h.sequence] = now
	delete(h.sentAt, h.sequence-maxOutstanding)
	return h.sequence
}

// Granted takes the answer to a renewal. The leases run from when it was sent.
func (h *Holder) Granted(sequence uint64, ownership, view time.Duration) {
	sent, ok := h.sentAt[sequence]
	if !ok {
		return
	}
	delete(h.sentAt, sequence)
	h.ownershipExpiry = max(h.ownershipExpiry, sent.Add(ownership))
	h.viewExpiry = max(h.viewExpiry, sent.Add(view))
}

// Drop ends the ownership lease, because the session ended or was given up.
// Renewals under way no longer count.
func (h *Holder) Drop() {
	clear(h.sentAt)
	h.ownershipExpiry = 0
}

// OwnershipUntil returns the instant from which shards must not be served.
func (h *Holder) OwnershipUntil() clock.Instant { return h.ownershipExpiry }

// ViewUntil returns the instant from which no new work may be taken.
func (h *Holder) ViewUntil() clock.Instant { return h.viewExpiry }
