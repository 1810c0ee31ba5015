package fleet

import (
	"slices"
	"sort"
)

// MaxOwnerRanges bounds the ranges of one owner, so that an answer to a heartbeat with all of
// them stays short.
const MaxOwnerRanges = 96

// KeySpace is the ownership of all keys of a ranged service. Its ranges are
// sorted and cover every key exactly once, so that each key has at most one
// owner. A key space is immutable once it is in a view.
type KeySpace struct {
	Service string
	// Revision is incremented by every change of the key space; a plan made from
	// an older revision is refused.
	Revision uint64
	// LastEpoch is the highest epoch granted so far in the key space.
	LastEpoch Epoch
	Ranges    []KeyRange
}

// NewKeySpace returns a key space with a single free range.
func NewKeySpace(service string) *KeySpace {
	return &KeySpace{Service: service, Ranges: []KeyRange{{Last: KeyCount - 1}}}
}

// Find returns the range that contains a key, which must be below KeyCount.
func (s *KeySpace) Find(key uint32) *KeyRange {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= key })
	return &s.Ranges[i]
}

// Valid reports whether the ranges are sorted and cover every key exactly once.
func (s *KeySpace) Valid() bool {
	next := uint32(0)
	for i := range s.Ranges {
		if s.Ranges[i].First != next || s.Ranges[i].Last < next {
			return false
		}
		next = s.Ranges[i].Last + 1
	}
	return next == KeyCount
}

// Normalize merges adjacent ranges with the same ownership.
func (s *KeySpace) Normalize() {
	merged := s.Ranges[:0]
	for _, r := range s.Ranges {
		if n := len(merged); n > 0 {
			last := &merged[n-1]
			if sameOwnership(last, &r) {
				last.Last = r.Last
				continue
			}
		}
		merged = append(merged, r)
	}
	s.Ranges = merged
}

func sameOwnership(a, b *KeyRange) bool {
	return a.Phase == b.Phase && a.Owner == b.Owner && a.Boot == b.Boot && a.Epoch == b.Epoch && a.Handover == b.Handover
}

// Split makes the key the first of a range, by splitting the range that
// contains it if necessary. Both parts keep owner and epoch.
func (s *KeySpace) Split(key uint32) {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= key })
	if i == len(s.Ranges) || s.Ranges[i].First == key {
		return
	}
	s.Ranges = slices.Insert(s.Ranges, i, s.Ranges[i])
	s.Ranges[i].Last, s.Ranges[i+1].First = key-1, key
}

// Clone returns a copy whose ranges may be changed independently.
func (s *KeySpace) Clone() *KeySpace {
	c := *s
	c.Ranges = append([]KeyRange(nil), s.Ranges...)
	return &c
}
