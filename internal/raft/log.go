package raft

import "fmt"

// entryLog is the part of the member's log that is in memory: the entries after base.
type entryLog struct {
	// base is the index before entries[0]: the last compacted entry. baseTerm is
	// zero when base is zero or its term is unknown.
	base     uint64
	baseTerm uint64
	baseAt   int64
	entries  []Entry
	// stable is the last index that is durable.
	stable    uint64
	committed uint64
	applied   uint64
}

func (log *entryLog) lastIndex() uint64 { return log.base + uint64(len(log.entries)) }

func (log *entryLog) lastTerm() uint64 {
	if len(log.entries) == 0 {
		return log.baseTerm
	}
	return log.entries[len(log.entries)-1].Term
}

// lastAt returns the log time of the last entry.
func (log *entryLog) lastAt() int64 {
	if len(log.entries) == 0 {
		return log.baseAt
	}
	return log.entries[len(log.entries)-1].At
}

// term returns the term of the entry at index, and false when the entry was
// compacted or does not exist.
func (log *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == log.base:
		return log.baseTerm, true
	case index < log.base || index > log.lastIndex():
		return 0, false
	default:
		return log.entries[index-log.base-1].Term, true
	}
}

func (log *entryLog) matches(index, term uint64) bool {
	found, exists := log.term(index)
	return exists && found == term
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one, as Raft requires of a candidate: it then contains
// every entry that a quorum with this member may have committed.
func (log *entryLog) upToDate(index, term uint64) bool {
	if term != log.lastTerm() {
		return term > log.lastTerm()
	}
	return index >= log.lastIndex()
}

// slice returns the entries from first to last, inclusive.
func (log *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	start := first - log.base - 1
	end := last - log.base
	return log.entries[start:end:end]
}

// batch returns entries from index first on, limited to maxEntries and
// maxBytes of data. It returns at least one if there is any.
func (log *entryLog) batch(first uint64, maxEntries, maxBytes int) []Entry {
	last := min(log.lastIndex(), first+uint64(maxEntries)-1)
	entries := log.slice(first, last)
	size := 0
	for position, entry := range entries {
		size += len(entry.Data)
		if size > maxBytes && position > 0 {
			return entries[:position:position]
		}
	}
	return entries
}

// append adds entries to the end of the log.
func (log *entryLog) append(entries ...Entry) { log.entries = append(log.entries, entries...) }

// merge adds entries that follow an index at which the logs match. Entries
// that are already present stay; from the first conflict on, the log is
// replaced. It returns the first replaced index, or zero.
func (log *entryLog) merge(entries []Entry) (truncatedAt uint64) {
	for position, entry := range entries {
		if entry.Index <= log.base {
			continue
		}
		if log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= log.lastIndex() {
			truncatedAt = entry.Index
			log.truncate(entry.Index)
		}
		log.append(entries[position:]...)
		return truncatedAt
	}
	return 0
}

// truncate removes the entries from index on. It panics rather than remove
// committed entries, which would violate state machine safety.
func (log *entryLog) truncate(index uint64) {
	if index <= log.committed {
		panic(fmt.Sprintf("raft: truncation at %d would remove committed entries up to %d", index, log.committed))
	}
	kept := index - log.base - 1
	log.entries = append([]Entry(nil), log.entries[:kept]...)
	log.stable = min(log.stable, index-1)
}

// commitTo raises the commit index to index; it never lowers it.
func (log *entryLog) commitTo(index uint64) {
	if index > log.lastIndex() {
		panic(fmt.Sprintf("raft: commit index %d is beyond the last entry %d", index, log.lastIndex()))
	}
	log.committed = max(log.committed, index)
}

// compact removes the entries up to index, which a durable snapshot contains.
func (log *entryLog) compact(index uint64) {
	if index <= log.base || index > log.applied {
		return
	}
	term, _ := log.term(index)
	at := log.entries[index-log.base-1].At
	log.entries = append([]Entry(nil), log.entries[index-log.base:]...)
	log.base = index
	log.baseTerm = term
	log.baseAt = at
}

// restore replaces the log with a snapshot.
func (log *entryLog) restore(meta SnapshotMeta) {
	*log = entryLog{
		base:      meta.Index,
		baseTerm:  meta.Term,
		baseAt:    meta.At,
		stable:    meta.Index,
		committed: meta.Index,
		applied:   meta.Index,
	}
}

// conflictHint returns the highest index at or below index whose term is at
// most term, and its term, or base if there is none. The entries above it have
// later terms, so they cannot match a log whose entry at index has that term.
func (log *entryLog) conflictHint(index, term uint64) (hintIndex, hintTerm uint64) {
	index = min(index, log.lastIndex())
	for index > log.base {
		found, _ := log.term(index)
		if found <= term {
			return index, found
		}
		index--
	}
	return log.base, log.baseTerm
}
