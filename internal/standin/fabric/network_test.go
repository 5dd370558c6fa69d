package fabric

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/settings"
)

func TestLatencyBetweenZones(t *testing.T) {
	network := newNetwork(1, []settings.Latency{
		{From: CallerZone, To: "a", Delay: 3 * time.Millisecond},
		{From: "a", To: "b", Delay: time.Millisecond},
		{From: "b", To: "a", Delay: 2 * time.Millisecond},
	})
	cases := []struct {
		from, to string
		want     time.Duration
	}{
		{CallerZone, "a", 3 * time.Millisecond},
		{"a", CallerZone, 3 * time.Millisecond},
		{"a", "b", time.Millisecond},
		{"b", "a", 2 * time.Millisecond},
		{"b", CallerZone, 0},
		{"", CallerZone, 0},
	}
	for _, test := range cases {
		require.Equal(t, test.want, network.latency(test.from, test.to), "%s to %s", test.from, test.to)
	}
}

func TestDecisionsUnderImpairments(t *testing.T) {
	cases := []struct {
		name        string
		impairments Impairments
		zone        string
		want        packetDecision
	}{
		{"no impairment", Impairments{}, "a", packetDecision{copies: 1}},
		{"all lost", Impairments{Loss: 1}, "a", packetDecision{reason: dropLoss}},
		{"all duplicated", Impairments{Duplicate: 1}, "a", packetDecision{copies: 2}},
		{"all delayed", Impairments{Reorder: 1, ReorderDelayMilliseconds: 7}, "a", packetDecision{copies: 1, extraDelay: 7 * time.Millisecond}},
		{"zone cut", Impairments{CutZones: []string{"b", "a"}}, "a", packetDecision{reason: dropCut}},
		{"other zone cut", Impairments{CutZones: []string{"b"}}, "a", packetDecision{copies: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			network := newNetwork(1, nil)
			network.impairments.Store(&test.impairments)
			require.Equal(t, test.want, network.decide(test.zone))
		})
	}
}

func TestEqualSeedsGiveEqualDecisions(t *testing.T) {
	first, second := newNetwork(9, nil), newNetwork(9, nil)
	impairments := Impairments{Loss: 0.3, Duplicate: 0.2, Reorder: 0.5, ReorderDelayMilliseconds: 1}
	first.impairments.Store(&impairments)
	second.impairments.Store(&impairments)
	lost := 0
	const packets = 1000
	for range packets {
		decided := first.decide("a")
		require.Equal(t, decided, second.decide("a"))
		require.Equal(t, first.choose(5), second.choose(5))
		if decided.reason == dropLoss {
			lost++
		}
	}
	require.InDelta(t, 0.3*packets, lost, 0.06*packets)
}

func TestImpairmentsAreChecked(t *testing.T) {
	cases := []struct {
		name        string
		impairments Impairments
		field       string
	}{
		{"loss above one", Impairments{Loss: 1.1}, "loss"},
		{"negative duplicates", Impairments{Duplicate: -0.1}, "duplicate"},
		{"reorder above one", Impairments{Reorder: 2}, "reorder"},
		{"negative reorder delay", Impairments{ReorderDelayMilliseconds: -1}, "reorder_delay_milliseconds"},
		{"reorder delay above the maximum", Impairments{ReorderDelayMilliseconds: 10_001}, "reorder_delay_milliseconds"},
		{"zone without a name", Impairments{CutZones: []string{""}}, "cut_zones"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := test.impairments.Validate()
			require.Equal(t, faults.FabricControlRefused, faults.CodeOf(err))
			require.ErrorContains(t, err, test.field)
		})
	}
	require.NoError(t, Impairments{Loss: 1, Reorder: 1, ReorderDelayMilliseconds: 10_000, CutZones: []string{"a"}}.Validate())
}

func TestDelayQueueOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	queue := NewDelayQueue()
	put := func(after time.Duration, data string) {
		require.True(t, queue.Put(start.Add(after), nil, loopback, []byte(data)))
	}
	put(5*time.Millisecond, "late")
	put(time.Millisecond, "first of two")
	put(time.Millisecond, "second of two")
	put(0, "now")

	next, wait := queue.next(start.Add(-time.Millisecond))
	require.Nil(t, next)
	require.Equal(t, time.Millisecond, wait)
	for _, want := range []string{"now", "first of two", "second of two"} {
		next, _ = queue.next(start.Add(time.Millisecond))
		require.NotNil(t, next)
		require.Equal(t, want, string(next.data))
	}
	next, wait = queue.next(start.Add(time.Millisecond))
	require.Nil(t, next)
	require.Equal(t, 4*time.Millisecond, wait)
	require.Equal(t, 1, queue.Length())
}

func TestDelayQueueIsBounded(t *testing.T) {
	queue := NewDelayQueue()
	for range delayCapacity {
		require.True(t, queue.Put(time.Unix(1, 0), nil, loopback, nil))
	}
	require.False(t, queue.Put(time.Unix(1, 0), nil, loopback, nil))
	require.Equal(t, delayCapacity, queue.Length())
}
