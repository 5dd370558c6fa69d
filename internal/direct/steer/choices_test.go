package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// loads has the open requests of targets.
type loads map[directory.Token]int

// Known implements Loads.
func (loads loads) Reliable() bool { return true }

// Coming implements Loads.
func (loads loads) Pending(directory.Token) int { return 0 }

// Proven implements Loads.
func (loads loads) SufficientForRefusal(time.Time) bool { return true }

// Evidence implements Loads.
func (loads loads) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (loads loads) Load(token directory.Token) (int, time.Duration) { return loads[token], 0 }

func (loads loads) TypicalServiceTime(string) time.Duration { return 0 }

// loadedTable returns a table of count targets of capacity two that chooses
// among candidates by their load.
func loadedTable(t testing.TB, count, candidates int, open loads) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Candidates = candidates
	options.Loads = open
	table := NewTable(options)
	require.True(t, table.Apply(whole(count), start))
	table.Confirm(start)
	return table
}

func TestTheLeastBusyCandidateIsChosen(t *testing.T) {
	open := loads{1: 9, 2: 9, 3: 4, 4: 9, 5: 9}
	table := loadedTable(t, 5, 5, open)
	for port := range 200 {
		decision := table.Decide(opening(port+1), start)
		require.Equal(t, directory.Token(3), decision.Token)
		require.Equal(t, 4, decision.Open)
	}
}

func TestOneCandidateChoosesByHash(t *testing.T) {
	plain, loaded := tableOf(t, whole(5)), loadedTable(t, 5, 1, loads{1: 9, 3: 4})
	for port := range 200 {
		require.Equal(t, plain.Decide(opening(port+1), start).Token, loaded.Decide(opening(port+1), start).Token)
	}
}

// TestTargetsWithRoomKeepTheOrderOfTheirHash: while every candidate has room,
// balancers choose alike, and near targets are preferred.
func TestTargetsWithRoomKeepTheOrderOfTheirHash(t *testing.T) {
	plain, loaded := tableOf(t, whole(5)), loadedTable(t, 5, 5, loads{1: 1, 3: 1})
	for port := range 200 {
		require.Equal(t, plain.Decide(opening(port+1), start).Token, loaded.Decide(opening(port+1), start).Token)
	}
}

// TestFlowsSpreadOverFewCandidates: balancers that know the same old counts do
// not all choose the same target.
func TestFlowsSpreadOverFewCandidates(t *testing.T) {
	open := loads{}
	for token := directory.Token(1); token <= 14; token++ {
		open[token] = 4
	}
	open[5] = 3
	table := loadedTable(t, 14, 3, open)
	chosen := 0
	const flows = 5000
	for port := range flows {
		if table.Decide(opening(port+1), start).Token == 5 {
			chosen++
		}
	}
	require.InDelta(t, 3.0/14, float64(chosen)/flows, 0.03)
}

func TestCopiesAvoidTheTargetsThatDidNotAnswer(t *testing.T) {
	table := loadedTable(t, 5, 3, loads{1: 1, 2: 5, 3: 9})
	copied := opening(9)
	for former := directory.Token(1); former <= 5; former++ {
		for before := range directory.Token(6) {
			copied.Attempt = 1
			if before > 0 {
				copied.Attempt = 2
			}
			copied.Tried = [TrackedAttempts]directory.Token{former, before}
			decision := table.Decide(copied, start.Add(2*retransmissionSpan))
			require.NotContains(t, []directory.Token{former, before}, decision.Token)
			require.Equal(t, former, decision.Suspect)
		}
	}
}

// TestCopiesOfOtherBalancersGoByHash: where a copy came by another way, the
// former ones went where the hash says.
func TestCopiesOfOtherBalancersGoByHash(t *testing.T) {
	plain, loaded := tableOf(t, whole(5)), loadedTable(t, 5, 3, loads{1: 3, 2: 5, 3: 9})
	for port := range 100 {
		var placed []directory.Token
		for attempt := range 3 {
			copied := opening(port + 1)
			copied.Attempt = attempt
			decision := loaded.Decide(copied, start.Add(2*retransmissionSpan))
			if attempt > 0 {
				require.Equal(t, placed[attempt-1], decision.Suspect)
				require.NotContains(t, placed, decision.Token)
			}
			placed = append(placed, plain.Decide(copied, start.Add(2*retransmissionSpan)).Token)
		}
	}
}

func TestTheOnlyTargetIsTriedAgain(t *testing.T) {
	table := loadedTable(t, 1, 3, loads{})
	copied := opening(9)
	copied.Attempt = 1
	copied.Tried = [TrackedAttempts]directory.Token{1}
	decision := table.Decide(copied, start.Add(2*retransmissionSpan))
	require.Equal(t, directory.Token(1), decision.Token)
	require.Zero(t, decision.Suspect, "it is not probed for that")
}
