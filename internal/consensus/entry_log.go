package consensus

// entryLog holds the latest snapshot and the entries after it. Invariants:
// entries are contiguous and the first follows the snapshot; committed never
// exceeds the last index.
type entryLog struct {
	snapshot  Snapshot
	entries   []Entry
	committed uint64
}

func newEntryLog(stored *Stored) entryLog {
	l := entryLog{entries: stored.Entries}
	if stored.Snapshot != nil {
		l.snapshot = *stored.Snapshot
		l.committed = stored.Snapshot.Index
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the entry is
// compacted or missing. The term of the snapshot's last entry is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

// slice returns up to limit entries starting at index, which must not be
// compacted.
func (l *entryLog) slice(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	return rest[:min(limit, len(rest))]
}

// append appends entries; existing ones at or after the first one's index are
// replaced.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	if keep < uint64(len(l.entries)) {
		// Outputs may still refer to the replaced entries, so the next append
		// must allocate rather than overwrite them.
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// conflict returns the entries from the first one on that the log lacks or
// holds with another term, or nil if it has all of them. Compacted entries
// count as held, since they are committed.
func (l *entryLog) conflict(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index {
			continue
		}
		if term, ok := l.term(entry.Index); !ok || term != entry.Term {
			return entries[i:]
		}
	}
	return nil
}

// membership returns the latest membership in the log and its index.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Membership; m != nil {
			return *m, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Membership; m != nil && l.entries[i].Index <= index {
			return *m
		}
	}
	return l.snapshot.Membership
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *entryLog) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

// restore replaces the whole log by a committed snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{snapshot: s, committed: s.Index}
}
