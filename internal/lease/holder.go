package lease

import (
	"time"

	"endivespring/internal/clock"
)

// maxOutstanding bounds the number of renewals without an answer; older ones are
// forgotten, so a late answer to them extends nothing.
const maxOutstanding = 64

// Holder is the router's side of its ownership lease and its view lease. Both
// count from the sending of a renewal, so they expire before the leader's Table
// says so.
type Holder struct {
	sentAt          map[uint64]clock.Instant
	sequence        uint64
	ownershipExpiry clock.Instant
	viewExpiry      clock.Instant
	viewConfirmedAt clock.Instant
}

// NewHolder returns a holder without a lease.
func NewHolder() *Holder { return &Holder{sentAt: map[uint64]clock.Instant{}} }

// Renew records that a renewal is sent now and returns its sequence number.
func (h *Holder) Renew(now clock.Instant) uint64 {
	h.sequence++
	h.sentAt[h.sequence] = now
	delete(h.sentAt, h.sequence-maxOutstanding)
	return h.sequence
}

// Granted handles the answer to a renewal. The leases last for the given times
// from the sending of the renewal. An answer never shortens a lease. It returns when
// the renewal was sent, or false if that is not known.
func (h *Holder) Granted(sequence uint64, ownership, view time.Duration) (sent clock.Instant, ok bool) {
	sent, ok = h.sentAt[sequence]
	if !ok {
		return 0, false
	}
	delete(h.sentAt, sequence)
	h.ownershipExpiry = max(h.ownershipExpiry, sent.Add(ownership))
	h.viewExpiry = max(h.viewExpiry, sent.Add(view))
	if view > 0 {
		h.viewConfirmedAt = max(h.viewConfirmedAt, sent)
	}
	return sent, true
}

// DropOwnership ends the ownership lease because the session ended or was abandoned.
// Answers to renewals sent before no longer extend any lease. The view lease
// runs on.
func (h *Holder) DropOwnership() {
	clear(h.sentAt)
	h.ownershipExpiry = 0
}

// OwnershipUntil returns the expiry of the ownership lease: from then on shards
// must not be served.
func (h *Holder) OwnershipUntil() clock.Instant { return h.ownershipExpiry }

// ViewUntil returns the expiry of the view lease: from then on no new requests
// may be accepted.
func (h *Holder) ViewUntil() clock.Instant { return h.viewExpiry }

// ViewConfirmedAt returns when the latest renewal was sent whose answer extended the
// view lease, or zero: the view in use was current then or later.
func (h *Holder) ViewConfirmedAt() clock.Instant { return h.viewConfirmedAt }
