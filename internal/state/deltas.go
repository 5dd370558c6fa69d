package state

import (
	"cmp"
	"slices"
	"sync"

	"merlinpaddle/internal/model"
)

// maximumDeltaRows is the maximum number of bucket rows in all deltas of the log.
const maximumDeltaRows = 1 << 20

// deltaLog holds the latest deltas, oldest first. It has its own lock, so that
// readers do not wait for Apply. It is not part of the replicated state: after a
// restart, a member sends full configurations until its log covers the requested
// revisions again.
type deltaLog struct {
	lock sync.RWMutex
	// current is the revision that the last delta leads to.
	current model.Revision
	entries []model.Delta
	// rows is the number of bucket rows in all entries.
	rows int
}

// reset empties the log when the configuration was replaced instead of changed by a
// delta.
func (log *deltaLog) reset(current model.Revision) {
	log.lock.Lock()
	defer log.lock.Unlock()
	log.current = current
	log.entries = nil
	log.rows = 0
}

// add appends a delta and removes the oldest deltas beyond the bounds.
func (log *deltaLog) add(delta model.Delta) {
	log.lock.Lock()
	defer log.lock.Unlock()
	log.entries = append(log.entries, delta)
	log.rows += deltaRows(delta)
	log.current = delta.To
	for len(log.entries) > MaximumDeltas || log.rows > maximumDeltaRows {
		log.rows -= deltaRows(log.entries[0])
		log.entries[0] = model.Delta{}
		log.entries = log.entries[1:]
	}
}

// deltaRows returns the number of bucket rows in the delta.
func deltaRows(delta model.Delta) int {
	rows := 0
	for _, change := range delta.Buckets {
		rows += len(change.Rows)
		if change.Whole != nil {
			rows += change.Whole.Count()
		}
	}
	return rows
}

// since returns the deltas after revision, as Machine.DeltasSince does.
func (log *deltaLog) since(revision model.Revision) ([]model.Delta, bool) {
	log.lock.RLock()
	defer log.lock.RUnlock()
	if revision == log.current {
		return nil, true
	}
	index, found := slices.BinarySearchFunc(log.entries, revision, func(delta model.Delta, from model.Revision) int {
		return cmp.Compare(delta.From, from)
	})
	if !found {
		return nil, false
	}
	return slices.Clone(log.entries[index:]), true
}
