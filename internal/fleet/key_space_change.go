package fleet

// KeySpaceChange is the difference between two revisions of a key space. It is immutable
// once it is part of a change.
type KeySpaceChange struct {
	Service string
	// Revision and LastEpoch are those of the later revision.
	Revision  uint64
	LastEpoch Epoch
	// Ranges are the ranges of the later revision that the earlier one does not have,
	// sorted. They cover the same keys as the ranges that the later one does not have.
	Ranges []KeyRange
}

// DiffKeySpaces returns the difference between two revisions. The earlier one may be nil.
func DiffKeySpaces(from, to *KeySpace) KeySpaceChange {
	if from == nil {
		from = NewKeySpace(to.Service)
	}
	c := KeySpaceChange{Service: to.Service, Revision: to.Revision, LastEpoch: to.LastEpoch}
	for _, r := range to.Ranges {
		if *from.Find(r.First) != r {
			c.Ranges = append(c.Ranges, r)
		}
	}
	return c
}

// Apply returns the later revision. The earlier one may be nil.
func (c *KeySpaceChange) Apply(s *KeySpace) *KeySpace {
	if s == nil {
		s = NewKeySpace(c.Service)
	}
	return &KeySpace{Service: c.Service, Revision: c.Revision, LastEpoch: c.LastEpoch, Ranges: replaceRanges(s.Ranges, c.Ranges)}
}

// then returns the combined effect of this change and a later one of the same key space.
func (c *KeySpaceChange) then(later KeySpaceChange) KeySpaceChange {
	later.Ranges = replaceRanges(c.Ranges, later.Ranges)
	return later
}

// replaceRanges returns sorted ranges in which those that overlap a replacement are left
// out and the replacements are added. A replaced range lies within the replacements.
func replaceRanges(ranges, replacements []KeyRange) []KeyRange {
	out := make([]KeyRange, 0, len(ranges)+len(replacements))
	next := 0
	for _, r := range ranges {
		for next < len(replacements) && replacements[next].Last < r.First {
			out = append(out, replacements[next])
			next++
		}
		if next == len(replacements) || replacements[next].First > r.Last {
			out = append(out, r)
		}
	}
	return append(out, replacements[next:]...)
}
