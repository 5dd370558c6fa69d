package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/protocol"
)

// evacuate applies an order to evacuate the zone.
func (member *member) evacuate(t *testing.T, zone string) {
	t.Helper()
	_, base := member.directory.Evacuations()
	data, err := directory.EncodeCommand(directory.Command{Evacuate: &directory.EvacuationOrder{Zone: zone, Base: base}})
	require.NoError(t, err)
	member.revision++
	member.directory.Apply(member.revision, start, data)
}

// TestBalancersReceiveEvacuations checks evacuations in full tables, in changes and in packed
// changes.
func TestBalancersReceiveEvacuations(t *testing.T) {
	member := newMember("a")
	member.declare(t, 1)
	member.evacuate(t, "x")
	harness := newTestHarness(t, member)
	harness.run(2 * time.Second)
	require.Equal(t, 1, harness.table.EvacuatedZones(), "with the first table")
	member.evacuate(t, "y")
	harness.run(time.Second)
	require.Equal(t, 2, harness.table.EvacuatedZones(), "with a change")

	packed, err := pack(member.directory.ChangesSince(0))
	require.NoError(t, err)
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Len(t, unpacked.Zones.Evacuated, 2)
	packed, err = pack(directory.New().ChangesSince(0))
	require.NoError(t, err)
	unpacked, err = unpack(packed)
	require.NoError(t, err)
	require.NotNil(t, unpacked.Zones, "a full table without evacuations ends those that a balancer knows")
}

// TestBehindCountsBalancersWithOlderRevision checks that Behind uses the revisions in the
// followers' latest subscriptions.
func TestBehindCountsBalancersWithOlderRevision(t *testing.T) {
	member := newMember("a")
	member.declare(t, 1)
	harness := newTestHarness(t, member)
	harness.run(2 * time.Second)
	require.Zero(t, member.publisher.Behind(member.revision))
	harness.drop = func(envelope protocol.Envelope) bool { return envelope.From == "a" }
	member.evacuate(t, "x")
	harness.run(300 * time.Millisecond)
	require.Equal(t, 1, member.publisher.Behind(member.revision))
	harness.drop = func(protocol.Envelope) bool { return false }
	harness.run(3 * time.Second)
	require.Zero(t, member.publisher.Behind(member.revision))
}
