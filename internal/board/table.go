package board

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a table.
const shardCount = 16

// Row is the value of a row of a table.
type Row[Value any] struct {
	Value Value
	// Revision is the revision of the table after the last write of the row.
	Revision uint64
}

// Table is a typed map that is split into shards with their own locks. It is safe for concurrent use.
// Every write increments the revision of the table, records it in the row and notifies the table's
// watchers.
type Table[Key comparable, Value any] struct {
	name     string
	hash     func(Key) uint64
	revision atomic.Uint64
	shards   [shardCount]tableShard[Key, Value]
	notifier Notifier
}

type tableShard[Key comparable, Value any] struct {
	lock sync.RWMutex
	rows map[Key]Row[Value]
}

// NewTable returns an empty table. The hash of a key determines its shard.
func NewTable[Key comparable, Value any](name string, hash func(Key) uint64) *Table[Key, Value] {
	table := &Table[Key, Value]{name: name, hash: hash}
	for index := range table.shards {
		table.shards[index].rows = make(map[Key]Row[Value])
	}
	return table
}

// HashNumber is a hash for integer keys.
func HashNumber[Key ~uint32 | ~uint64 | ~int](key Key) uint64 {
	// Fibonacci hashing: the multiplier is 2^64 divided by the golden ratio. It spreads small keys.
	return uint64(key) * 0x9E3779B97F4A7C15 >> 32
}

// HashString is a hash for string keys.
func HashString[Key ~string](key Key) uint64 { return xxhash.Sum64String(string(key)) }

// Name returns the table's name.
func (table *Table[Key, Value]) Name() string { return table.name }

func (table *Table[Key, Value]) shard(key Key) *tableShard[Key, Value] {
	return &table.shards[table.hash(key)%shardCount]
}

// Get returns the value of key and whether it exists.
func (table *Table[Key, Value]) Get(key Key) (Value, bool) {
	shard := table.shard(key)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	row, exists := shard.rows[key]
	return row.Value, exists
}

// Put sets the value of key and returns the revision of the write.
func (table *Table[Key, Value]) Put(key Key, value Value) uint64 {
	shard := table.shard(key)
	shard.lock.Lock()
	revision := table.revision.Add(1)
	shard.rows[key] = Row[Value]{Value: value, Revision: revision}
	shard.lock.Unlock()
	table.notifier.Notify()
	return revision
}

// Update calls change with the value of key under the lock of its shard, and replaces the value with
// next. If keep is false, it deletes the row instead.
func (table *Table[Key, Value]) Update(key Key, change func(value Value, exists bool) (next Value, keep bool)) {
	shard := table.shard(key)
	shard.lock.Lock()
	row, exists := shard.rows[key]
	next, keep := change(row.Value, exists)
	revision := table.revision.Add(1)
	if keep {
		shard.rows[key] = Row[Value]{Value: next, Revision: revision}
	} else {
		delete(shard.rows, key)
	}
	shard.lock.Unlock()
	table.notifier.Notify()
}

// Delete removes the row of key, if there is one.
func (table *Table[Key, Value]) Delete(key Key) {
	table.Update(key, func(value Value, _ bool) (Value, bool) { return value, false })
}

// Range calls visit with a copy of each row until visit returns false. Visit is called without locks.
// The order is not specified; a caller that needs a deterministic order must sort.
func (table *Table[Key, Value]) Range(visit func(key Key, row Row[Value]) bool) {
	for index := range table.shards {
		for key, row := range table.shards[index].copyRows() {
			if !visit(key, row) {
				return
			}
		}
	}
}

// copyRows returns a copy of the shard's rows.
func (shard *tableShard[Key, Value]) copyRows() map[Key]Row[Value] {
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	copied := make(map[Key]Row[Value], len(shard.rows))
	for key, row := range shard.rows {
		copied[key] = row
	}
	return copied
}

// Length returns the number of rows.
func (table *Table[Key, Value]) Length() int {
	total := 0
	for index := range table.shards {
		shard := &table.shards[index]
		shard.lock.RLock()
		total += len(shard.rows)
		shard.lock.RUnlock()
	}
	return total
}

// Revision returns the revision of the latest write, or zero before the first.
func (table *Table[Key, Value]) Revision() uint64 { return table.revision.Load() }

// Watch registers and returns a channel that receives a notice after a write. Notices are merged: the
// channel holds at most one.
func (table *Table[Key, Value]) Watch() <-chan struct{} { return table.notifier.Watch() }
