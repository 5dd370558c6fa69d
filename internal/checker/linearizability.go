package checker

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// OperationKind says whether an operation is a read or a write.
type OperationKind uint8

// The kinds of operations.
const (
	OperationRead OperationKind = iota + 1
	OperationWrite
)

// OperationResult is the outcome that the operator received.
type OperationResult uint8

// The results.
const (
	// ResultAccepted: the write took effect and created Revision, or the read returned Value and
	// Revision.
	ResultAccepted OperationResult = iota + 1
	// ResultConflict: the write's base was not the current revision, which is in Revision. Nothing
	// changed.
	ResultConflict
	// ResultUnknown: the answer was lost. The write may take effect at any time, or never.
	ResultUnknown
)

// Operation is one operation of an operator on one object. An object is a register that changes by
// compare-and-set on its revision.
type Operation struct {
	Object string
	Client string
	Kind   OperationKind
	// Key is the idempotency key of a write. A write that was sent again is one operation, from its
	// first sending (Call) to its last answer (Return).
	Key    string
	Call   time.Duration
	Return time.Duration
	Base   uint64
	Value  uint64
	// Revision is the revision that resulted from the write, that was read, or that was reported
	// with a conflict.
	Revision uint64
	Result   OperationResult
}

// InitialState is the state of an object before its history.
type InitialState struct {
	Value    uint64
	Revision uint64
}

// never is the return time of operations with an unknown outcome.
const never = time.Duration(math.MaxInt64)

// maxSearchStates is how many states the search for one object may visit.
const maxSearchStates = 2_000_000

// register is the sequential specification: the latest value and revision. After a write with an
// unknown outcome, the revision is not known until a later operation returns it; meanwhile revision
// is an exclusive lower bound.
type register struct {
	value    uint64
	revision uint64
	known    bool
}

// apply returns the register after operation, or false if the operation is not legal in this
// state.
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

// at returns the register with the given revision, or false if the register cannot have it.
func (state register) at(revision uint64) (register, bool) {
	if state.known {
		return state, state.revision == revision
	}
	if revision <= state.revision {
		return state, false
	}
	return register{value: state.value, revision: revision, known: true}, true
}

// CheckLinearizable searches, for each object on its own, for an order of its operations that
// respects real time and the sequential specification of a register. It uses the algorithm of Wing
// and Gong with Lowe's cache of visited configurations. initial has the objects' initial states.
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

// search is the search for a legal order of the operations of one object.
type search struct {
	// operations are in the order of their calls.
	operations []Operation
	first      register
	visited    map[string]struct{}
	// placed marks the operations that are in the prefix.
	placed        []bool
	longestPrefix int
	exhausted     bool
	// maxStates is how many states may be visited.
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

// explore tries to extend a legal prefix of count operations, which ends in state, to a complete
// order. It reports whether it succeeded.
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

// complete reports whether all operations with a known outcome are placed. A write with an unknown
// outcome may never take effect, so it need not be.
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

// visit records the pair of placed operations and state. It reports whether the pair is new and
// fewer than maxStates pairs had been visited; otherwise the search does not continue from it.
func (search *search) visit(state register) bool {
	if len(search.visited) >= search.maxStates {
		search.exhausted = true
		return false
	}
	key := make([]byte, 0, len(search.placed)+17)
	for _, placed := range search.placed {
		if placed {
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
