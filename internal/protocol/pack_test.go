package protocol

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// fullUpdate returns an update with a snapshot, a delta and the other fields set.
func fullUpdate() Update {
	configuration := model.NewConfiguration()
	configuration.Revision = 7
	configuration.Services[1] = model.Service{
		ID: 1, Name: "tipline", Address: netip.MustParseAddrPort("192.0.2.1:443"),
		Limits: model.DefaultLimits(), Rules: []model.RequestRule{{Method: "POST", AtMostOnce: true}},
	}
	configuration.Targets[2] = model.Target{ID: 2, Service: 1, Agent: netip.MustParseAddrPort("127.0.0.1:9000")}
	configuration.Buckets[1] = &model.BucketTable{
		Service: 1, Heads: []model.TargetID{2, 2}, Alternates: []model.TargetID{0, 0},
		Earlier: map[model.BucketIndex][]model.EarlierTarget{1: {{Target: 3, MovedAt: 5}}},
	}
	return Update{
		Snapshot: configuration,
		Deltas: []model.Delta{{
			From: 7, To: 8, Services: []model.Service{{ID: 1}}, Targets: []model.Target{{ID: 2}},
			RemovedServices: []model.ServiceID{4}, RemovedTargets: []model.TargetID{5},
			Buckets: []model.BucketChange{{Service: 1, Rows: []model.Bucket{{Index: 1, Head: 2}}}},
		}},
		Committed: 8, ConfirmedAt: time.Unix(100, 0).UTC(),
	}
}

// TestPackedUpdatesDecodeIndependently checks that lost, reordered and duplicated updates do not
// prevent the decoding of others, as soon as the type descriptions have arrived.
func TestPackedUpdatesDecodeIndependently(t *testing.T) {
	encoder := NewUpdateEncoder()
	first, err := encoder.Encode(fullUpdate())
	require.NoError(t, err)
	second, err := encoder.Encode(Update{Committed: 9})
	require.NoError(t, err)

	cases := []struct {
		name    string
		packed  []PackedUpdate
		want    []model.Revision
		unknown []bool
	}{
		{name: "in order", packed: []PackedUpdate{encoder.WithDescriptions(first), second}, want: []model.Revision{8, 9}, unknown: []bool{false, false}},
		{name: "first lost", packed: []PackedUpdate{second, encoder.WithDescriptions(first), second}, want: []model.Revision{0, 8, 9}, unknown: []bool{true, false, false}},
		{name: "reordered", packed: []PackedUpdate{encoder.WithDescriptions(second), first}, want: []model.Revision{9, 8}, unknown: []bool{false, false}},
		{name: "duplicated", packed: []PackedUpdate{encoder.WithDescriptions(first), first, encoder.WithDescriptions(first)}, want: []model.Revision{8, 8, 8}, unknown: []bool{false, false, false}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decoder := NewUpdateDecoder()
			for index, packed := range test.packed {
				update, err := decoder.Decode(packed)
				if test.unknown[index] {
					require.ErrorIs(t, err, ErrUnknownTypes)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, test.want[index], update.Committed)
			}
		})
	}
}

// TestPackedUpdateRoundTrip checks that every field of an update is encoded and decoded.
func TestPackedUpdateRoundTrip(t *testing.T) {
	encoder := NewUpdateEncoder()
	packed, err := encoder.Encode(fullUpdate())
	require.NoError(t, err)
	update, err := NewUpdateDecoder().Decode(encoder.WithDescriptions(packed))
	require.NoError(t, err)
	require.Equal(t, fullUpdate(), update)
}

// TestDamagedPayloadDiscardsTypeDescriptions checks that the decoder needs the type descriptions
// again after a payload that gob cannot decode, because the state of the gob stream is then unknown.
func TestDamagedPayloadDiscardsTypeDescriptions(t *testing.T) {
	encoder := NewUpdateEncoder()
	packed, err := encoder.Encode(fullUpdate())
	require.NoError(t, err)
	decoder := NewUpdateDecoder()
	_, err = decoder.Decode(encoder.WithDescriptions(packed))
	require.NoError(t, err)

	damaged := packed
	damaged.Payload = packed.Payload[:len(packed.Payload)/2]
	_, err = decoder.Decode(damaged)
	require.Error(t, err)
	_, err = decoder.Decode(packed)
	require.ErrorIs(t, err, ErrUnknownTypes)
	update, err := decoder.Decode(encoder.WithDescriptions(packed))
	require.NoError(t, err)
	require.Equal(t, fullUpdate(), update)
}

func TestPayloadOmitsTypeDescriptions(t *testing.T) {
	encoder := NewUpdateEncoder()
	packed, err := encoder.Encode(Update{Deltas: []model.Delta{{From: 7, To: 8}}})
	require.NoError(t, err)
	t.Logf("payload %d bytes, descriptions %d bytes", len(packed.Payload), len(encoder.descriptions))
	require.Less(t, 10*len(packed.Payload), len(encoder.descriptions))
}

func TestLargeUpdatesAreCompressed(t *testing.T) {
	large := fullUpdate()
	for id := model.TargetID(1); id < 2000; id++ {
		large.Snapshot.Targets[id] = model.Target{ID: id, Service: 1, Agent: netip.MustParseAddrPort("127.0.0.1:9000"), Name: "agent"}
	}
	encoder := NewUpdateEncoder()
	packed, err := encoder.Encode(large)
	require.NoError(t, err)
	require.True(t, packed.Compressed)
	decoder := NewUpdateDecoder()
	update, err := decoder.Decode(encoder.WithDescriptions(packed))
	require.NoError(t, err)
	require.Equal(t, large, update)

	damaged := packed
	damaged.Payload = packed.Payload[:len(packed.Payload)/2]
	_, err = decoder.Decode(damaged)
	require.Error(t, err)
	small, err := encoder.Encode(Update{Committed: 9})
	require.NoError(t, err)
	require.False(t, small.Compressed)
	update, err = decoder.Decode(encoder.WithDescriptions(small))
	require.NoError(t, err, "a damaged update does not prevent the decoding of a later one")
	require.Equal(t, model.Revision(9), update.Committed)
}
