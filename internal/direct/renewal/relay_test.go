package renewal

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("10.0.0.7:8080")
)

// fixture is a relay with a table that has a ready, a draining and a failed target at the same
// address.
type fixture struct {
	mailbox      *protocol.Mailbox
	dispatcher   *protocol.Dispatcher
	table        *steer.Table
	relay        *Relay
	followedNode model.NodeName
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	created := &fixture{mailbox: protocol.NewMailbox("balancer"), table: steer.NewTable(steer.DefaultOptions()), followedNode: "member"}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	created.relay = NewRelay(created.mailbox, created.dispatcher, created.table, func() model.NodeName { return created.followedNode })
	require.True(t, created.table.Apply(directory.Changes{Whole: true, To: 1, Version: 1, Targets: []directory.TargetEntry{
		{Token: 1, ID: 7, Address: address, Capacity: 2, State: directory.TargetReady},
		{Token: 2, ID: 8, Address: address, Capacity: 2, State: directory.TargetDraining},
		{Token: 3, ID: 6, Address: address, Capacity: 2, State: directory.TargetFailed},
	}}, start))
	created.table.Confirm(start)
	return created
}

// target returns the registration of a ready target.
func target(id directory.TargetID) directory.Target {
	return directory.Target{ID: id, Service: "feed", Address: address, Capacity: 2, State: directory.TargetReady, Sequence: 3}
}

func TestOnlyUnchangedTargetsAreRenewed(t *testing.T) {
	moved, resized, draining, restarted := target(7), target(7), target(7), target(7)
	restarted.Started = 100
	moved.Address = netip.MustParseAddrPort("10.0.0.9:8080")
	resized.Capacity = 3
	draining.State = directory.TargetDraining
	cases := []struct {
		name     string
		reported directory.Target
		at       time.Duration
		code     faults.Code
	}{
		{"renewal", target(7), 0, 0},
		{"unknown target", target(9), 0, faults.NotLeader},
		{"draining target", target(8), 0, faults.NotLeader},
		{"late renewal of an earlier incarnation at the address", target(6), 0, faults.NotLeader},
		{"target that starts draining", draining, 0, faults.NotLeader},
		{"other address", moved, 0, faults.NotLeader},
		{"another start", restarted, 0, faults.NotLeader},
		{"other capacity", resized, 0, faults.NotLeader},
		{"confirmation at the maximum age", target(7), maxConfirmationAge, 0},
		{"confirmation above the maximum age", target(7), maxConfirmationAge + time.Millisecond, faults.QuorumUnconfirmed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			err := fixture.relay.Renew(start.Add(test.at), test.reported)
			require.Equal(t, test.code, faults.CodeOf(err), "%v", err)
			fixture.relay.Reconcile(start.Add(test.at))
			require.Equal(t, test.code == 0, len(fixture.mailbox.Outbox.Drain()) == 1)
		})
	}
}

func TestRenewalsAreCombinedIntoOneMessage(t *testing.T) {
	fixture := newFixture(t)
	fixture.relay.Reconcile(start)
	require.NoError(t, fixture.relay.Renew(start, target(7)))
	require.NoError(t, fixture.relay.Renew(start.Add(100*time.Millisecond), target(7)))
	fixture.mailbox.Inbox.Put(protocol.Envelope{From: "other", To: "balancer", Message: registrar.Renewals{Targets: []registrar.Renewal{
		{ID: 20, Ago: time.Second}, {ID: 7, Ago: time.Second}, {ID: 30, Ago: maxRenewalAge},
	}}})
	fixture.dispatcher.Reconcile(start)
	fixture.relay.Reconcile(start.Add(200 * time.Millisecond))
	require.Empty(t, fixture.mailbox.Outbox.Drain(), "nothing is sent before the interval has passed")
	fixture.relay.Reconcile(start.Add(sendInterval))
	sent := fixture.mailbox.Outbox.Drain()
	require.Len(t, sent, 1)
	require.Equal(t, model.NodeName("member"), sent[0].To)
	require.Equal(t, registrar.Renewals{Targets: []registrar.Renewal{
		{ID: 7, Ago: 300 * time.Millisecond}, {ID: 20, Ago: 1200 * time.Millisecond},
	}}, sent[0].Message, "the latest renewal of each target, without the expired one")
	fixture.relay.Reconcile(start.Add(2 * sendInterval))
	require.Empty(t, fixture.mailbox.Outbox.Drain(), "each renewal is sent once")
}

func TestRenewalsExpireWithoutAFollowedNode(t *testing.T) {
	fixture := newFixture(t)
	fixture.followedNode = ""
	require.NoError(t, fixture.relay.Renew(start, target(7)))
	fixture.relay.Reconcile(start.Add(sendInterval))
	fixture.followedNode = "member"
	fixture.relay.Reconcile(start.Add(2 * sendInterval))
	require.Empty(t, fixture.mailbox.Outbox.Drain())
}

// TestRenewalThatChangesColdnessIsRefused checks that a change of coldness goes to a member where
// cold targets are limited, because balancers must get it.
func TestRenewalThatChangesColdnessIsRefused(t *testing.T) {
	cold := target(7)
	cold.Cold = time.Second
	fixture := newFixture(t)
	require.NoError(t, fixture.relay.Renew(start, cold), "coldness does not matter without a cold limit")
	limits := &directory.ColdLimits{PerSecond: map[string]float64{"feed": 4}}
	require.True(t, fixture.table.Apply(directory.Changes{From: 1, To: 2, Version: 1, ColdLimits: limits, Targets: []directory.TargetEntry{
		{Token: 1, ID: 7, Service: "feed", Address: address, Capacity: 2, State: directory.TargetReady},
	}}, start))
	require.Equal(t, faults.NotLeader, faults.CodeOf(fixture.relay.Renew(start, cold)))
	require.NoError(t, fixture.relay.Renew(start, target(7)))
}
