package consensus

// entryLog holds the entries after the last snapshot. Invariants: entries are
// contiguous and the first follows the snapshot; committed never exceeds the
// last index.
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

// term returns the term of an entry, and false if it is compacted or missing.
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

// slice returns up to limit entries from index on, which must not be compacted.
func (l *entryLog) slice(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	return rest[:min(limit, len(rest))]
}

// append adds entries, replacing any from the first one's index on.
func (l *entryLog) append(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	if keep < uint64(len(l.entries)) {
		// Outputs may still hold the replaced entries: leave their array alone.
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// conflict returns the first of entries that the log lacks or holds with
// another term, or nil if it has all of them.
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

// membership returns the latest membership at or before the last entry.
func (l *entryLog) membership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Membership; m != nil {
			return *m, l.entries[i].Index
		}
	}
	return l.snapshot.Membership, l.snapshot.Index
}

// membershipAt returns the latest membership at or before index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if m := l.entries[i].Membership; m != nil && l.entries[i].Index <= index {
			return *m
		}
	}
	return l.snapshot.Membership
}

// compact drops entries up to the snapshot's index.
func (l *entryLog) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{snapshot: s, committed: s.Index}
}
