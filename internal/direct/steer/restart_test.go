package steer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// restartedTargetSnapshot returns a snapshot with two incarnations of one target: the previous one,
// which failed, has token 1, and the latest has token 2. change may change both; it may be nil.
func restartedTargetSnapshot(change func(previous, latest *directory.TargetEntry)) directory.Changes {
	changes := fullSnapshot(2)
	previous, latest := &changes.Targets[0], &changes.Targets[1]
	previous.State, previous.Started = directory.TargetFailed, 100
	latest.ID, latest.Address, latest.Started = previous.ID, previous.Address, 200
	if change != nil {
		change(previous, latest)
	}
	return changes
}

// TestFlowsWithTheTokenOfAPreviousIncarnation: a flow that opens at a target just after its restart
// has the token of the previous incarnation, because its balancer does not know of the restart yet.
// Balancers must not reset such a flow. The target itself resets flows that it does not have.
func TestFlowsWithTheTokenOfAPreviousIncarnation(t *testing.T) {
	cases := []struct {
		name   string
		change func(previous, latest *directory.TargetEntry)
		action Action
		reason Reason
		token  directory.Token
	}{
		{"restarted at the same address", nil, Forward, ReasonRestarted, 2},
		{"restarted at the same address and draining", func(_, latest *directory.TargetEntry) { latest.State = directory.TargetDraining }, Forward, ReasonRestarted, 2},
		{"restarted at another address", func(_, latest *directory.TargetEntry) {
			latest.Address = netip.MustParseAddrPort("10.0.0.9:8080")
		}, Reset, ReasonTargetFailed, 0},
		{"restarted with another service", func(_, latest *directory.TargetEntry) { latest.Service = "ledger" }, Reset, ReasonTargetFailed, 0},
		{"restarted and failed again", func(_, latest *directory.TargetEntry) { latest.State = directory.TargetFailed }, Reset, ReasonTargetFailed, 0},
		{"another target at the address", func(_, latest *directory.TargetEntry) { latest.ID++ }, Reset, ReasonTargetFailed, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			segment := openingPacket(5)
			segment.Opening, segment.Token = false, 1
			decision := tableOf(t, restartedTargetSnapshot(test.change)).Decide(segment, start)
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
			require.Equal(t, test.token, decision.Token)
		})
	}
}

func TestFindTargetReturnsTheLatestIncarnation(t *testing.T) {
	changes := restartedTargetSnapshot(nil)
	id := changes.Targets[0].ID
	table := tableOf(t, changes)
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Forgotten: []directory.Token{1}}, start))
	found, known := table.FindTarget(id)
	require.True(t, known)
	require.Equal(t, directory.Token(2), found.Token)
	changes.To, changes.Targets = 12, changes.Targets[:1]
	require.True(t, table.Apply(changes, start))
	found, _ = table.FindTarget(id)
	require.Equal(t, directory.Token(1), found.Token, "a full snapshot replaces the incarnations of the table")
	require.True(t, table.Apply(directory.Changes{From: 12, To: 13, Version: 3, Forgotten: []directory.Token{1}}, start))
	_, known = table.FindTarget(id)
	require.False(t, known)
}
