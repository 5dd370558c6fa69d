package checker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func write(client string, call, ret int, base, value, revision uint64, result OperationResult) Operation {
	return Operation{
		Object: "service", Client: client, Kind: OperationWrite, Key: client, Call: seconds(call), Return: seconds(ret),
		Base: base, Value: value, Revision: revision, Result: result,
	}
}

func read(call, ret int, value, revision uint64) Operation {
	return Operation{
		Object: "service", Client: "reader", Kind: OperationRead, Call: seconds(call), Return: seconds(ret),
		Value: value, Revision: revision, Result: ResultAccepted,
	}
}

func seconds(count int) time.Duration { return time.Duration(count) * time.Second }

func TestLinearizability(t *testing.T) {
	table := []struct {
		name    string
		history []Operation
		legal   bool
	}{
		{"sequence", []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), read(3, 4, 1, 6)}, true},
		{"overlapping read of the old value", []Operation{write("a", 1, 5, 5, 1, 6, ResultAccepted), read(2, 3, 0, 5)}, true},
		{"stale read after the answer", []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), read(3, 4, 0, 5)}, false},
		{"read of the new value, then of the old", []Operation{write("a", 1, 9, 5, 1, 6, ResultAccepted), read(2, 3, 1, 6), read(4, 5, 0, 5)}, false},
		{"two winners", []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), write("b", 1, 2, 5, 2, 7, ResultAccepted)}, false},
		{"one winner", []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), write("b", 1, 2, 5, 2, 6, ResultConflict)}, true},
		{"conflict without a winner", []Operation{write("b", 1, 2, 5, 2, 6, ResultConflict)}, false},
		{"conflict with itself", []Operation{write("b", 1, 2, 5, 2, 5, ResultConflict)}, false},
		{"lost answer, took effect", []Operation{write("a", 1, 2, 5, 1, 0, ResultUnknown), read(3, 4, 1, 6)}, true},
		{"lost answer, took effect late", []Operation{write("a", 1, 2, 5, 1, 0, ResultUnknown), read(3, 4, 0, 5), read(5, 6, 1, 8)}, true},
		{"lost answer, no effect", []Operation{write("a", 1, 2, 5, 1, 0, ResultUnknown), read(3, 4, 0, 5)}, true},
		{"lost answer, appears and vanishes", []Operation{write("a", 1, 2, 5, 1, 0, ResultUnknown), read(3, 4, 1, 6), read(5, 6, 0, 5)}, false},
		{"lost answer, applied twice", []Operation{
			write("a", 1, 2, 5, 1, 0, ResultUnknown), read(3, 4, 1, 6), write("b", 5, 6, 6, 2, 7, ResultAccepted), read(7, 8, 1, 8),
		}, false},
		{"revision goes back", []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), write("b", 3, 4, 6, 2, 4, ResultAccepted)}, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			var report Report
			CheckLinearizable(&report, row.history, map[string]InitialState{"service": {Revision: 5}})
			require.Equal(t, row.legal, len(report.Violations()) == 0, report.Violations())
		})
	}
}

func TestLinearizabilityOfManyOverlappingOperations(t *testing.T) {
	var history []Operation
	revision := uint64(5)
	for index := range 200 {
		next := revision + 1
		history = append(history, write("a", index, index+3, revision, uint64(index), next, ResultAccepted))
		history = append(history, write("b", index, index+3, revision, 1000, next, ResultConflict))
		revision = next
	}
	var report Report
	CheckLinearizable(&report, history, map[string]InitialState{"service": {Revision: 5}})
	require.Empty(t, report.Violations())
}

// TestSearchThatExceedsItsLimitFails checks that a history for which the search reached its state
// limit counts as a violation.
func TestSearchThatExceedsItsLimitFails(t *testing.T) {
	history := []Operation{write("a", 1, 2, 5, 1, 6, ResultAccepted), read(3, 4, 1, 6)}
	search := newSearch(history, register{revision: 5, known: true})
	search.maxStates = 1
	var report Report
	search.report(&report, "service")
	require.Len(t, report.Violations(), 1)
	require.Equal(t, InvariantLinearizable, report.Violations()[0].Invariant)
	require.Contains(t, report.Violations()[0].Detail, "within 1 states")
}

// randomHistory returns a random legal history of overlapping operations. Each takes effect at one
// moment between its call and its return.
func randomHistory(random *rand.Rand, length int) []Operation {
	const step = 100
	revision, value := uint64(5), uint64(0)
	var history []Operation
	for index := range length {
		effect := (index + 1) * step
		call, ret := effect-random.IntN(3*step), effect+random.IntN(3*step)
		one := read(call, ret, value, revision)
		switch random.IntN(4) {
		case 0:
			one = write("writer", call, ret, revision, uint64(index+1), revision+1, ResultAccepted)
			revision, value = revision+1, uint64(index+1)
		case 1:
			one = write("late", call, ret, revision-1, uint64(index+1), revision, ResultConflict)
		}
		history = append(history, one)
	}
	return history
}

func isLegal(history []Operation) bool {
	var report Report
	CheckLinearizable(&report, history, map[string]InitialState{"service": {Revision: 5}})
	return len(report.Violations()) == 0
}

func TestLinearizabilityOfRandomHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("legal histories pass", prop.ForAll(func(seed uint64) bool {
		return isLegal(randomHistory(rand.New(rand.NewPCG(seed, 1)), 40))
	}, gen.UInt64()))
	properties.Property("a read of a value that was never written is detected", prop.ForAll(func(seed uint64) bool {
		history := randomHistory(rand.New(rand.NewPCG(seed, 2)), 40)
		for index := range history {
			if history[index].Kind == OperationRead {
				history[index].Value += 1_000_000
				return !isLegal(history)
			}
		}
		return true
	}, gen.UInt64()))
	properties.Property("a stale read after a write was answered is detected", prop.ForAll(func(seed uint64) bool {
		history := randomHistory(rand.New(rand.NewPCG(seed, 3)), 40)
		for _, earlier := range history {
			if earlier.Kind == OperationWrite && earlier.Result == ResultAccepted {
				stale := read(0, 0, earlier.Value-1, earlier.Base)
				stale.Call, stale.Return = earlier.Return+1, earlier.Return+2
				return !isLegal(append(history, stale))
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestOperators(t *testing.T) {
	table := []struct {
		name     string
		play     func(*Operators)
		expected Invariant
	}{
		{"no violation", func(operators *Operators) {
			operators.Completed(write("a", 1, 2, 5, 1, 6, ResultAccepted))
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 6}, 2)
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 6}, 3)
			operators.Answered("b", ChangeAnswer{Revision: 6}, 3)
			operators.FinalState("service", 1, 6, seconds(9))
		}, ""},
		{"two winners", func(operators *Operators) {
			operators.Completed(write("a", 1, 2, 5, 1, 6, ResultAccepted))
			operators.Completed(write("b", 1, 2, 5, 2, 7, ResultAccepted))
		}, InvariantOneWinner},
		{"resent change applied again", func(operators *Operators) {
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 6}, 2)
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 7}, 3)
		}, InvariantAppliedOnce},
		{"copy of an accepted change refused", func(operators *Operators) {
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 6}, 2)
			operators.Answered("a", ChangeAnswer{Revision: 6}, 3)
		}, InvariantAppliedOnce},
		{"copy of a refused change accepted", func(operators *Operators) {
			operators.Answered("a", ChangeAnswer{Revision: 6}, 2)
			operators.Answered("a", ChangeAnswer{Accepted: true, Revision: 7}, 3)
		}, InvariantAppliedOnce},
		{"accepted change lost", func(operators *Operators) {
			operators.Completed(write("a", 1, 2, 5, 1, 6, ResultAccepted))
			operators.FinalState("service", 0, 5, seconds(9))
		}, InvariantCommittedKept},
		{"final value that was never written", func(operators *Operators) {
			operators.Created("service", InitialState{Revision: 5})
			operators.Completed(write("a", 1, 2, 5, 1, 6, ResultAccepted))
			operators.FinalState("service", 2, 6, seconds(9))
			operators.CheckLinearizable()
		}, InvariantLinearizable},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			var report Report
			row.play(NewOperators(&report))
			requireViolation(t, &report, row.expected)
		})
	}
}

// requireViolation checks that the first violation is of the given invariant, or that there is no
// violation if invariant is empty.
func requireViolation(t *testing.T, report *Report, invariant Invariant) {
	t.Helper()
	if invariant == "" {
		require.Empty(t, report.Violations())
		return
	}
	require.NotEmpty(t, report.Violations())
	require.Equal(t, invariant, report.Violations()[0].Invariant)
}
