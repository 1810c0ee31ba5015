package fleet

import "sort"

// KeySpace is the ownership of all keys of one service. Ranges are sorted and
// cover every key once. A key space is immutable once it is in a view.
type KeySpace struct {
	Service string
	// Revision counts the changes of the key space.
	Revision uint64
	// LastEpoch is the highest epoch that was ever granted.
	LastEpoch Epoch
	Ranges    []KeyRange
}

// NewKeySpace returns a key space without owners.
func NewKeySpace(service string) *KeySpace {
	return &KeySpace{Service: service, Ranges: []KeyRange{{Last: Keys - 1}}}
}

// Find returns the range of a key, which must be below Keys.
func (s *KeySpace) Find(key uint32) *KeyRange {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= key })
	return &s.Ranges[i]
}

// Whole reports whether the ranges are sorted and cover every key once.
func (s *KeySpace) Whole() bool {
	next := uint32(0)
	for i := range s.Ranges {
		if s.Ranges[i].First != next || s.Ranges[i].Last < next {
			return false
		}
		next = s.Ranges[i].Last + 1
	}
	return next == Keys
}

// Normalize joins neighbours that do not differ.
func (s *KeySpace) Normalize() {
	joined := s.Ranges[:0]
	for _, r := range s.Ranges {
		if n := len(joined); n > 0 {
			last := &joined[n-1]
			if sameOwnership(last, &r) {
				last.Last = r.Last
				continue
			}
		}
		joined = append(joined, r)
	}
	s.Ranges = joined
}

func sameOwnership(a, b *KeyRange) bool {
	return a.Phase == b.Phase && a.Owner == b.Owner && a.Boot == b.Boot && a.Epoch == b.Epoch && a.Handover == b.Handover
}

// Split makes sure that a range begins at a key.
func (s *KeySpace) Split(key uint32) {
	i := sort.Search(len(s.Ranges), func(i int) bool { return s.Ranges[i].Last >= key })
	if i == len(s.Ranges) || s.Ranges[i].First == key {
		return
	}
	left, right := s.Ranges[i], s.Ranges[i]
	left.Last, right.First = key-1, key
	s.Ranges = append(s.Ranges[:i:i], append([]KeyRange{left, right}, s.Ranges[i+1:]...)...)
}

// Clone returns an independent copy.
func (s *KeySpace) Clone() *KeySpace {
	c := *s
	c.Ranges = append([]KeyRange(nil), s.Ranges...)
	return &c
}
