package session

import (
	"slices"
	"time"

	"endivespring/internal/clock"
)

// avoidTime is how long a control process that fell silent is not gone back to:
// others may still take it for the leader.
const avoidDuration = 200 * time.Millisecond

// Finder chooses the control process to connect to. It is a pure state machine.
type Finder struct {
	addresses []string
	// open is set if control processes may have other addresses than those given
	// first, which are the first seeds of addresses.
	dynamic      bool
	seedCount    int
	current      int
	leaderHint   string
	avoided      string
	avoidedUntil clock.Instant
}

// NewFinder returns a finder that starts with the first of the addresses, of
// which there must be one.
func NewFinder(addresses []string) *Finder {
	return &Finder{addresses: addresses, seedCount: len(addresses), current: len(addresses) - 1}
}

// NewOpenFinder returns a finder that also goes to addresses that it learns
// from control itself, and comes back to those given.
func NewOpenFinder(addresses []string) *Finder {
	return &Finder{addresses: slices.Clone(addresses), current: len(addresses) - 1, dynamic: true, seedCount: len(addresses)}
}

// Seeds replaces the addresses given first. Without any nothing changes.
func (f *Finder) Seeds(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	learned := f.addresses[f.seedCount:]
	present := f.addresses[f.current]
	if !f.dynamic {
		learned = nil
	}
	f.addresses, f.seedCount = slices.Clone(addresses), len(addresses)
	for _, address := range append(slices.Clone(learned), present) {
		f.addAddress(address)
	}
	f.current = slices.Index(f.addresses, present)
}

// Members takes the addresses of the present control processes.
func (f *Finder) Members(addresses []string) {
	if !f.dynamic || len(addresses) == 0 {
		return
	}
	present := f.addresses[f.current]
	f.addresses = f.addresses[:f.seedCount]
	for _, address := range append(slices.Clone(addresses), present) {
		f.addAddress(address)
	}
	f.current = slices.Index(f.addresses, present)
}

func (f *Finder) addAddress(address string) {
	if !slices.Contains(f.addresses, address) {
		f.addresses = append(f.addresses, address)
	}
}

// Len returns the number of addresses.
func (f *Finder) Len() int { return len(f.addresses) }

// Next returns the leader that was named, or else the next address in turn.
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

// Redirected takes the leader's address as another process knows it, or none.
// It reports whether it will be followed: an address that is not in the
// settings, or that just fell silent, is not.
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

// GaveUp notes that the present process fell silent.
func (f *Finder) GaveUp(now clock.Instant) {
	f.avoided, f.avoidedUntil = f.addresses[f.current], now.Add(avoidDuration)
}

func (f *Finder) isAvoided(now clock.Instant, address string) bool {
	return address == f.avoided && now < f.avoidedUntil
}
