package state

import (
	"maps"
	"slices"
)

// table is a copy-on-write map. Copies of a table share their rows until one of
// them is written. The rows of a published table are never written.
type table[Key comparable, Value any] struct {
	rows map[Key]Value
	// owned is set when rows is not shared with another copy.
	owned bool
}

func (table *table[Key, Value]) get(key Key) (Value, bool) {
	found, known := table.rows[key]
	return found, known
}

func (table *table[Key, Value]) set(key Key, row Value) {
	table.ensureOwned()
	table.rows[key] = row
}

func (table *table[Key, Value]) remove(key Key) {
	table.ensureOwned()
	delete(table.rows, key)
}

func (table *table[Key, Value]) length() int { return len(table.rows) }

// ensureOwned copies the rows if they may be shared.
func (table *table[Key, Value]) ensureOwned() {
	if table.owned {
		return
	}
	copied := make(map[Key]Value, len(table.rows)+1)
	maps.Copy(copied, table.rows)
	table.rows = copied
	table.owned = true
}

// markShared makes the next write copy the rows.
func (table *table[Key, Value]) markShared() { table.owned = false }

// sorted returns the rows in the order that compare defines.
func (table *table[Key, Value]) sorted(compare func(left, right Value) int) []Value {
	return slices.SortedFunc(maps.Values(table.rows), compare)
}
