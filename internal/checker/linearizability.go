package checker

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// OperationKind tells reads from writes.
type OperationKind uint8

// The kinds of operations.
const (
	OperationRead OperationKind = iota + 1
	OperationWrite
)

// OperationResult is what the operator was told.
type OperationResult uint8

// The results.
const (
	// ResultAccepted: the write took effect and got Revision; a read returned
	// Value and Revision.
	ResultAccepted OperationResult = iota + 1
	// ResultConflict: the write's base was not the present revision, which
	// is reported in Revision. Nothing changed.
	ResultConflict
	// ResultUnknown: the answer was lost; a write may take effect at any time.
	ResultUnknown
)

// Operation is one operation of an operator on one object: a register that
// changes by compare and set on its revision.
type Operation struct {
	Object string
	Client string
	Kind   OperationKind
	// Key is the idempotency key of a write. A write that was resent is one
	// operation from its first sending to its last answer.
	Key    string
	Call   time.Duration
	Return time.Duration
	Base   uint64
	Value  uint64
	// Revision is the resulting, read or reported revision.
	Revision uint64
	Result   OperationResult
}

// Initial is the state of an object before its history.
type InitialState struct {
	Value    uint64
	Revision uint64
}

// never is the return time of operations with unknown outcome.
const never = time.Duration(math.MaxInt64)

// maximumSearch bounds the states that one object's search may visit.
const maxSearchStates = 2_000_000

// register is the sequential specification: the latest value and revision.
// After a write of unknown outcome the revision is not known until a later
// operation tells it.
type register struct {
	value    uint64
	revision uint64
	known    bool
}

// apply returns the register after operation, or false when the operation
// cannot come here.
func (state register) apply(operation Operation) (register, bool) {
	switch {
	case operation.Kind == OperationRead:
		return state.observe(operation.Revision, operation.Value)
	case operation.Result == ResultConflict:
		if operation.Base == operation.Revision {
			return state, false
		}
		return state.at(operation.Revision)
	case operation.Result == ResultUnknown:
		next, possible := state.at(operation.Base)
		next.value = operation.Value
		next.known = false
		return next, possible
	default:
		_, possible := state.at(operation.Base)
		if !possible || operation.Revision <= operation.Base {
			return state, false
		}
		return register{value: operation.Value, revision: operation.Revision, known: true}, true
	}
}

func (state register) observe(revision, value uint64) (register, bool) {
	if value != state.value {
		return state, false
	}
	return state.at(revision)
}

// at returns the register once its revision is known to be the given one.
func (state register) at(revision uint64) (register, bool) {
	if state.known {
		return state, state.revision == revision
	}
	if revision <= state.revision {
		return state, false
	}
	return register{value: state.value, revision: revision, known: true}, true
}

// CheckLinearizable searches, for each object on its own, an order of its
// operations that keeps real time and the register's rules (the algorithm of
// Wing and Gong with the memory of Lowe). initial has the objects' first states.
func CheckLinearizable(report *Report, history []Operation, initial map[string]InitialState) {
	byObject := make(map[string][]Operation)
	var objects []string
	for _, operation := range history {
		if byObject[operation.Object] == nil {
			objects = append(objects, operation.Object)
		}
		byObject[operation.Object] = append(byObject[operation.Object], operation)
	}
	slices.Sort(objects)
	for _, object := range objects {
		first := initial[object]
		search := newSearch(byObject[object], register{value: first.Value, revision: first.Revision, known: true})
		search.report(report, object)
	}
}

type search struct {
	operations    []Operation
	first         register
	visited       map[string]struct{}
	placed        []bool
	longestPrefix int
	exhausted     bool
	// maximum bounds the states that are visited.
	maxStates int
}

func newSearch(operations []Operation, first register) *search {
	sorted := slices.Clone(operations)
	for index := range sorted {
		if sorted[index].Result == ResultUnknown {
			sorted[index].Return = never
		}
	}
	slices.SortStableFunc(sorted, func(left, right Operation) int { return cmp.Compare(left.Call, right.Call) })
	return &search{
		operations: sorted,
		first:      first,
		visited:    make(map[string]struct{}),
		placed:     make([]bool, len(sorted)),
		maxStates:  maxSearchStates,
	}
}

func (search *search) report(report *Report, object string) {
	if search.explore(search.first, 0) {
		return
	}
	if search.exhausted {
		report.Add(InvariantLinearizable, 0, "object %s: no order found within %d states", object, search.maxStates)
		return
	}
	report.Add(InvariantLinearizable, 0, "object %s: no order of its %d operations; the longest legal prefix has %d",
		object, len(search.operations), search.longestPrefix)
}

// explore extends a legal prefix of count operations that left state.
func (search *search) explore(state register, count int) bool {
	search.longestPrefix = max(search.longestPrefix, count)
	if search.complete() {
		return true
	}
	if !search.visit(state) {
		return false
	}
	earliestReturn := search.earliestReturn()
	for index, operation := range search.operations {
		if operation.Call > earliestReturn {
			break
		}
		if search.placed[index] {
			continue
		}
		next, possible := state.apply(operation)
		if !possible {
			continue
		}
		search.placed[index] = true
		if search.explore(next, count+1) {
			return true
		}
		search.placed[index] = false
	}
	return false
}

// complete tells whether all operations with a known outcome are placed; a
// write of unknown outcome may never take effect.
func (search *search) complete() bool {
	for index, operation := range search.operations {
		if !search.placed[index] && operation.Result != ResultUnknown {
			return false
		}
	}
	return true
}

func (search *search) earliestReturn() time.Duration {
	earliest := never
	for index, operation := range search.operations {
		if !search.placed[index] {
			earliest = min(earliest, operation.Return)
		}
	}
	return earliest
}

// visit remembers the pair of placed operations and state; it returns false
// when the pair was seen before or the search is too long.
func (search *search) visit(state register) bool {
	if len(search.visited) >= search.maxStates {
		search.exhausted = true
		return false
	}
	key := make([]byte, 0, len(search.placed)+17)
	for _, done := range search.placed {
		if done {
			key = append(key, 1)
		} else {
			key = append(key, 0)
		}
	}
	key = binary.BigEndian.AppendUint64(key, state.value)
	key = binary.BigEndian.AppendUint64(key, state.revision)
	if state.known {
		key = append(key, 1)
	}
	if _, seen := search.visited[string(key)]; seen {
		return false
	}
	search.visited[string(key)] = struct{}{}
	return true
}
