package feed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/protocol"
)

// evacuate applies an order to empty a zone and returns its revision.
func (member *member) evacuate(t *testing.T, zone string) {
	t.Helper()
	_, base := member.directory.Evacuations()
	data, err := directory.EncodeCommand(directory.Command{Evacuate: &directory.EvacuationOrder{Zone: zone, Base: base}})
	require.NoError(t, err)
	member.index++
	member.directory.Apply(member.index, start, data)
}

// TestBalancersLearnOfEvacuations by whole tables, by changes and by packed ones.
func TestBalancersLearnOfEvacuations(t *testing.T) {
	member := newMember("a")
	member.declare(t, 1)
	member.evacuate(t, "x")
	pair := newPair(t, member)
	pair.run(2 * time.Second)
	require.Equal(t, 1, pair.table.EvacuatedZones(), "with the first table")
	member.evacuate(t, "y")
	pair.run(time.Second)
	require.Equal(t, 2, pair.table.EvacuatedZones(), "with a change")

	packed, err := pack(member.directory.ChangesSince(0))
	require.NoError(t, err)
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Len(t, unpacked.Zones.Evacuated, 2)
	packed, err = pack(directory.New().ChangesSince(0))
	require.NoError(t, err)
	unpacked, err = unpack(packed)
	require.NoError(t, err)
	require.NotNil(t, unpacked.Zones, "a whole table without evacuations ends those that a reader knows")
}

// TestMemberTellsHowManyBalancersAreBehind by the revisions that they named last.
func TestMemberTellsHowManyBalancersAreBehind(t *testing.T) {
	member := newMember("a")
	member.declare(t, 1)
	pair := newPair(t, member)
	pair.run(2 * time.Second)
	require.Zero(t, member.publisher.Behind(member.index))
	pair.lose = func(envelope protocol.Envelope) bool { return envelope.From == "a" }
	member.evacuate(t, "x")
	pair.run(300 * time.Millisecond)
	require.Equal(t, 1, member.publisher.Behind(member.index))
	pair.lose = func(protocol.Envelope) bool { return false }
	pair.run(3 * time.Second)
	require.Zero(t, member.publisher.Behind(member.index))
}
