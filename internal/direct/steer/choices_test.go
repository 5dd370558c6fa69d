package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// openCounts implements Loads with a number of open requests for each target.
type openCounts map[directory.Token]int

// Reliable implements Loads.
func (counts openCounts) Reliable() bool { return true }

// Pending implements Loads.
func (counts openCounts) Pending(directory.Token) int { return 0 }

// SufficientForRefusal implements Loads.
func (counts openCounts) SufficientForRefusal(time.Time) bool { return true }

// Evidence implements Loads.
func (counts openCounts) Evidence(directory.Token, time.Time) Evidence {
	return Evidence{ReportedAgo: NeverReported}
}

// Load implements Loads.
func (counts openCounts) Load(token directory.Token) (int, time.Duration) { return counts[token], 0 }

// TypicalServiceTime implements Loads.
func (counts openCounts) TypicalServiceTime(string) time.Duration { return 0 }

// loadedTable returns a table of count targets with two slots each, which chooses the least busy
// one among the given number of candidates.
func loadedTable(t testing.TB, count, candidates int, open openCounts) *Table {
	t.Helper()
	options := DefaultOptions()
	options.Candidates = candidates
	options.Loads = open
	table := NewTable(options)
	require.True(t, table.Apply(fullSnapshot(count), start))
	table.Confirm(start)
	return table
}

func TestTheLeastBusyCandidateIsChosen(t *testing.T) {
	open := openCounts{1: 9, 2: 9, 3: 4, 4: 9, 5: 9}
	table := loadedTable(t, 5, 5, open)
	for port := range 200 {
		decision := table.Decide(openingPacket(port+1), start)
		require.Equal(t, directory.Token(3), decision.Token)
		require.Equal(t, 4, decision.Open)
	}
}

func TestSingleCandidateIsChosenByHash(t *testing.T) {
	plain, loaded := tableOf(t, fullSnapshot(5)), loadedTable(t, 5, 1, openCounts{1: 9, 3: 4})
	for port := range 200 {
		require.Equal(t, plain.Decide(openingPacket(port+1), start).Token, loaded.Decide(openingPacket(port+1), start).Token)
	}
}

// TestIdleTargetsKeepTheirHashOrder: while every candidate has room, small differences in load must
// not change the choice, so that balancers choose the same target and prefer the local zone.
func TestIdleTargetsKeepTheirHashOrder(t *testing.T) {
	plain, loaded := tableOf(t, fullSnapshot(5)), loadedTable(t, 5, 5, openCounts{1: 1, 3: 1})
	for port := range 200 {
		require.Equal(t, plain.Decide(openingPacket(port+1), start).Token, loaded.Decide(openingPacket(port+1), start).Token)
	}
}

// TestFlowsSpreadOverFewCandidates: balancers with the same outdated counts must not all send their
// flows to the target that is the least busy by these counts.
func TestFlowsSpreadOverFewCandidates(t *testing.T) {
	open := openCounts{}
	for token := directory.Token(1); token <= 14; token++ {
		open[token] = 4
	}
	open[5] = 3
	table := loadedTable(t, 14, 3, open)
	chosen := 0
	const flows = 5000
	for port := range flows {
		if table.Decide(openingPacket(port+1), start).Token == 5 {
			chosen++
		}
	}
	require.InDelta(t, 3.0/14, float64(chosen)/flows, 0.03)
}

func TestRetransmissionsAvoidTargetsThatDidNotAnswer(t *testing.T) {
	table := loadedTable(t, 5, 3, openCounts{1: 1, 2: 5, 3: 9})
	retransmitted := openingPacket(9)
	for latest := directory.Token(1); latest <= 5; latest++ {
		for earlier := range directory.Token(6) {
			retransmitted.Attempt = 1
			if earlier > 0 {
				retransmitted.Attempt = 2
			}
			retransmitted.Tried = [TrackedAttempts]directory.Token{latest, earlier}
			decision := table.Decide(retransmitted, start.Add(2*retransmissionSpan))
			require.NotContains(t, []directory.Token{latest, earlier}, decision.Token)
			require.Equal(t, latest, decision.Suspect)
		}
	}
}

// TestRetransmissionsOfFlowsFromOtherBalancersUseHashOrder: a balancer that did not forward the
// earlier attempts of a flow assumes that they went to the best targets by hash.
func TestRetransmissionsOfFlowsFromOtherBalancersUseHashOrder(t *testing.T) {
	plain, loaded := tableOf(t, fullSnapshot(5)), loadedTable(t, 5, 3, openCounts{1: 3, 2: 5, 3: 9})
	for port := range 100 {
		var placed []directory.Token
		for attempt := range 3 {
			retransmitted := openingPacket(port + 1)
			retransmitted.Attempt = attempt
			decision := loaded.Decide(retransmitted, start.Add(2*retransmissionSpan))
			if attempt > 0 {
				require.Equal(t, placed[attempt-1], decision.Suspect)
				require.NotContains(t, placed, decision.Token)
			}
			placed = append(placed, plain.Decide(retransmitted, start.Add(2*retransmissionSpan)).Token)
		}
	}
}

func TestTheOnlyTargetIsTriedAgain(t *testing.T) {
	table := loadedTable(t, 1, 3, openCounts{})
	retransmitted := openingPacket(9)
	retransmitted.Attempt = 1
	retransmitted.Tried = [TrackedAttempts]directory.Token{1}
	decision := table.Decide(retransmitted, start.Add(2*retransmissionSpan))
	require.Equal(t, directory.Token(1), decision.Token)
	require.Zero(t, decision.Suspect, "the only target is not suspected")
}
