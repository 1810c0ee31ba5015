package session

import (
	"slices"
	"time"

	"endivespring/internal/clock"
)

// avoidDuration is how long a control process that did not answer is avoided.
// Others may still take it for the leader meanwhile and redirect to it.
const avoidDuration = 200 * time.Millisecond

// Finder chooses the control process to connect to. It is a pure state machine.
// It follows redirects to the leader and otherwise tries the addresses in turn.
type Finder struct {
	// addresses holds the seeds, of which there are seedCount, and then the
	// addresses learned from control.
	addresses []string
	// dynamic is set if control processes may have other addresses than the
	// seeds.
	dynamic   bool
	seedCount int
	// current is the index of the address last returned by Next.
	current int
	// leaderHint is the address of the last redirect, if it is to be followed.
	leaderHint string
	// avoided is the address that last did not answer; it is avoided until
	// avoidedUntil.
	avoided      string
	avoidedUntil clock.Instant
}

// NewFinder returns a finder for a fixed set of addresses, which must not be empty.
// It starts with the first one.
func NewFinder(addresses []string) *Finder {
	return &Finder{addresses: addresses, seedCount: len(addresses), current: len(addresses) - 1}
}

// NewDynamicFinder returns a finder that takes the addresses as seeds, of which there
// must be one, and also uses those that it learns from control.
func NewDynamicFinder(addresses []string) *Finder {
	return &Finder{addresses: slices.Clone(addresses), current: len(addresses) - 1, dynamic: true, seedCount: len(addresses)}
}

// SetSeeds replaces the seeds. An empty list is ignored. The address in use stays known.
func (f *Finder) SetSeeds(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	learned := f.addresses[f.seedCount:]
	inUse := f.addresses[f.current]
	if !f.dynamic {
		learned = nil
	}
	f.addresses, f.seedCount = slices.Clone(addresses), len(addresses)
	for _, address := range append(slices.Clone(learned), inUse) {
		f.addAddress(address)
	}
	f.current = slices.Index(f.addresses, inUse)
}

// SetMembers replaces the learned addresses by those of the present control processes.
// The address in use stays known. A finder with a fixed set ignores them.
func (f *Finder) SetMembers(addresses []string) {
	if !f.dynamic || len(addresses) == 0 {
		return
	}
	inUse := f.addresses[f.current]
	f.addresses = f.addresses[:f.seedCount]
	for _, address := range append(slices.Clone(addresses), inUse) {
		f.addAddress(address)
	}
	f.current = slices.Index(f.addresses, inUse)
}

func (f *Finder) addAddress(address string) {
	if !slices.Contains(f.addresses, address) {
		f.addresses = append(f.addresses, address)
	}
}

// Len returns the number of known addresses, seeds included.
func (f *Finder) Len() int { return len(f.addresses) }

// Next returns the address to connect to now: the leader named by the last redirect,
// or else the next address in turn. An avoided address is passed over unless it is
// the only one.
func (f *Finder) Next(now clock.Instant) string {
	if hint := slices.Index(f.addresses, f.leaderHint); hint >= 0 {
		f.current, f.leaderHint = hint, ""
		return f.addresses[hint]
	}
	f.current = (f.current + 1) % len(f.addresses)
	if f.isAvoided(now, f.addresses[f.current]) {
		f.current = (f.current + 1) % len(f.addresses)
	}
	return f.addresses[f.current]
}

// Redirected takes the leader's address as another control process knows it, or an
// empty string. It reports whether Next will return that address. A finder with a
// fixed set does not follow a redirect to any other address, and no finder follows
// one to an avoided address.
func (f *Finder) Redirected(now clock.Instant, leader string) bool {
	f.leaderHint = ""
	if f.dynamic && leader != "" {
		f.addAddress(leader)
	}
	if slices.Contains(f.addresses, leader) && !f.isAvoided(now, leader) {
		f.leaderHint = leader
	}
	return f.leaderHint != ""
}

// MarkUnresponsive records that the control process in use did not answer, so that it is
// avoided for avoidDuration.
func (f *Finder) MarkUnresponsive(now clock.Instant) {
	f.avoided, f.avoidedUntil = f.addresses[f.current], now.Add(avoidDuration)
}

func (f *Finder) isAvoided(now clock.Instant, address string) bool {
	return address == f.avoided && now < f.avoidedUntil
}
