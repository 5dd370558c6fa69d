package steer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// restartedTarget has a target's former start, token 1, and its latest one, token 2.
func restartedTarget(change func(former, latest *directory.TargetEntry)) directory.Changes {
	changes := whole(2)
	former, latest := &changes.Targets[0], &changes.Targets[1]
	former.State, former.Started = directory.TargetFailed, 100
	latest.ID, latest.Address, latest.Started = former.ID, former.Address, 200
	if change != nil {
		change(former, latest)
	}
	return changes
}

// TestFlowsOfAFormerStart: a flow that opened at a target just after it started again has
// the former token until balancers know of the start. The target itself tells which flows
// it has, so that its balancers must not reset them.
func TestFlowsOfAFormerStart(t *testing.T) {
	cases := []struct {
		name   string
		change func(former, latest *directory.TargetEntry)
		action Action
		reason Reason
		token  directory.Token
	}{
		{"at the same address", nil, Forward, ReasonRestarted, 2},
		{"that drains again", func(_, latest *directory.TargetEntry) { latest.State = directory.TargetDraining }, Forward, ReasonRestarted, 2},
		{"at another address", func(_, latest *directory.TargetEntry) {
			latest.Address = netip.MustParseAddrPort("10.0.0.9:8080")
		}, Reset, ReasonTargetFailed, 0},
		{"of another service", func(_, latest *directory.TargetEntry) { latest.Service = "ledger" }, Reset, ReasonTargetFailed, 0},
		{"that failed too", func(_, latest *directory.TargetEntry) { latest.State = directory.TargetFailed }, Reset, ReasonTargetFailed, 0},
		{"another target at the address", func(_, latest *directory.TargetEntry) { latest.ID++ }, Reset, ReasonTargetFailed, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			segment := opening(5)
			segment.Opening, segment.Token = false, 1
			decision := tableOf(t, restartedTarget(test.change)).Decide(segment, start)
			require.Equal(t, test.action, decision.Action)
			require.Equal(t, test.reason, decision.Reason)
			require.Equal(t, test.token, decision.Token)
		})
	}
}

func TestFindTargetReturnsTheLatestStart(t *testing.T) {
	changes := restartedTarget(nil)
	id := changes.Targets[0].ID
	table := tableOf(t, changes)
	require.True(t, table.Apply(directory.Changes{From: 10, To: 11, Version: 3, Forgotten: []directory.Token{1}}, start))
	found, known := table.FindTarget(id)
	require.True(t, known)
	require.Equal(t, directory.Token(2), found.Token)
	changes.To, changes.Targets = 12, changes.Targets[:1]
	require.True(t, table.Apply(changes, start))
	found, _ = table.FindTarget(id)
	require.Equal(t, directory.Token(1), found.Token, "a whole table replaces what was found before")
	require.True(t, table.Apply(directory.Changes{From: 12, To: 13, Version: 3, Forgotten: []directory.Token{1}}, start))
	_, known = table.FindTarget(id)
	require.False(t, known)
}
