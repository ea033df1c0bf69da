package raft

// memoryLog holds the entries after the last snapshot. Entry i of the slice has
// index snapshotIndex+1+i.
type memoryLog struct {
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
}

func (l *memoryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

// term returns the term of the entry at index, which may be the last one that the
// snapshot covers. It returns false for an index before that or beyond the end
// of the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// slice returns the entries in [from, to], at most limit of them, and nil if
// from is covered by the snapshot.
func (l *memoryLog) slice(from, to uint64, limit int) []Entry {
	if from <= l.snapshotIndex || from > to {
		return nil
	}
	out := l.entries[from-l.snapshotIndex-1 : to-l.snapshotIndex]
	if len(out) > limit {
		out = out[:limit]
	}
	return out[:len(out):len(out)]
}

// withinBytes returns the first entries whose data is within limit, in bytes, and at
// least one.
func withinBytes(entries []Entry, limit int) []Entry {
	size := 0
	for i, e := range entries {
		if size += len(e.Data); size > limit && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// truncate removes the entries from index on. It copies the rest, since slices
// of the old entries may still be in use.
func (l *memoryLog) truncate(index uint64) {
	keep := l.entries[:index-l.snapshotIndex-1]
	l.entries = append([]Entry(nil), keep...)
}

// compact removes the entries up to and including index. An index outside the
// log is ignored.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.snapshotIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex = index
	l.snapshotTerm = term
}
