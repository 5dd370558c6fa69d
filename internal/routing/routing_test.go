package routing_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

const testService = model.ServiceID(7)

// servingTargets returns serving targets of testService with the IDs 1 to count.
func servingTargets(count int) []model.Target {
	targets := make([]model.Target, count)
	for index := range targets {
		targets[index] = model.Target{
			ID:      model.TargetID(index + 1),
			Service: testService,
			Phase:   model.PhaseServing,
		}
	}
	return targets
}

// apply returns a copy of the table with the rows replaced.
func apply(table *model.BucketTable, rows []model.Bucket) *model.BucketTable {
	next := table.Clone()
	for _, row := range rows {
		next.Set(row)
	}
	return next
}

// headCounts returns of how many buckets each target is the head.
func headCounts(table *model.BucketTable) map[model.TargetID]int {
	counts := make(map[model.TargetID]int)
	for _, head := range table.Heads {
		counts[head]++
	}
	return counts
}

func TestFlowHashDistinguishesFlows(t *testing.T) {
	flow := model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.MustParseAddrPort("127.1.0.1:4000"),
		Destination: netip.MustParseAddrPort("127.2.0.1:443"),
	}
	otherPort := flow
	otherPort.Source = netip.MustParseAddrPort("127.1.0.1:4001")
	otherAddress := flow
	otherAddress.Destination = netip.MustParseAddrPort("127.2.0.2:443")
	otherProtocol := flow
	otherProtocol.Protocol = model.ProtocolQUIC
	mapped := flow
	mapped.Source = netip.MustParseAddrPort("[::ffff:127.1.0.1]:4000")

	require.Equal(t, routing.FlowHash(flow), routing.FlowHash(mapped))
	for _, other := range []model.FiveTuple{otherPort, otherAddress, otherProtocol} {
		require.NotEqual(t, routing.FlowHash(flow), routing.FlowHash(other))
	}
	require.Zero(t, testing.AllocsPerRun(100, func() { routing.FlowHash(flow) }))
}

func TestBucketOfStaysInRangeAndSpreads(t *testing.T) {
	const count = 100
	var seen [count]int
	for hash := uint64(0); hash < 100_000; hash++ {
		bucket := routing.BucketOf(hash*0x9E3779B97F4A7C15, count)
		seen[bucket]++
	}
	for _, flows := range seen {
		require.InDelta(t, 1000, flows, 20)
	}
	require.Zero(t, routing.BucketOf(1<<63, 0))
}

func TestChainHasNoDuplicatesAndNoZero(t *testing.T) {
	tests := map[string]struct {
		bucket model.Bucket
		want   []model.TargetID
	}{
		"empty":             {model.Bucket{}, []model.TargetID{}},
		"head only":         {model.Bucket{Head: 1}, []model.TargetID{1}},
		"no head":           {model.Bucket{Alternate: 2}, []model.TargetID{2}},
		"alternate is head": {model.Bucket{Head: 1, Alternate: 1}, []model.TargetID{1}},
		"earlier in order": {
			model.Bucket{Head: 1, Alternate: 2, Earlier: []model.EarlierTarget{{Target: 4}, {Target: 3}}},
			[]model.TargetID{1, 2, 4, 3},
		},
		"earlier is the alternate again": {
			model.Bucket{Head: 1, Alternate: 2, Earlier: []model.EarlierTarget{{Target: 2}, {Target: 3}}},
			[]model.TargetID{1, 2, 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, routing.Chain(test.bucket))
		})
	}
}

func TestNewTableSpreadsHeadsAndAlternates(t *testing.T) {
	for _, count := range []int{1, 2, 4, 14, 100} {
		table := routing.NewTable(testService, servingTargets(count), 1)
		require.GreaterOrEqual(t, table.Count(), routing.MinimumBuckets)
		counts := headCounts(table)
		require.Len(t, counts, count)
		for _, heads := range counts {
			require.InDelta(t, float64(table.Count())/float64(count), heads, 1)
		}
		for index := range table.Heads {
			require.NotEqual(t, table.Heads[index], table.Alternates[index])
			require.Equal(t, count > 1, table.Alternates[index] != 0)
		}
		require.Empty(t, table.Earlier)
	}
}

func TestRebalanceMovesFewBucketsOnJoin(t *testing.T) {
	for _, count := range []int{4, 14, 50} {
		before := routing.NewTable(testService, servingTargets(count), 1)
		after := apply(before, routing.Rebalance(before, servingTargets(count+1), 2))
		moved := 0
		for index := range before.Heads {
			if before.Heads[index] != after.Heads[index] {
				require.EqualValues(t, count+1, after.Heads[index], "only the new target may get buckets")
				moved++
			}
		}
		require.LessOrEqual(t, moved, before.Count()/(count+1)+1)
		for _, heads := range headCounts(after) {
			require.InDelta(t, float64(before.Count())/float64(count+1), heads, 1)
		}
	}
}

func TestRemoveEarlierTargetsIgnoresReportsOlderThanTheMove(t *testing.T) {
	table := routing.NewTable(testService, servingTargets(4), 1)
	row := table.Bucket(5)
	row.Earlier = []model.EarlierTarget{{Target: 9, MovedAt: 20}, {Target: 8, MovedAt: 10}}
	table.Set(row)
	report := func(target model.TargetID, at model.Revision) model.BucketEmpty {
		return model.BucketEmpty{Service: testService, Target: target, Bucket: 5, At: at}
	}
	foreign := report(9, 20)
	foreign.Service++
	outside := report(9, 20)
	outside.Bucket = model.BucketIndex(table.Count())

	tests := map[string]struct {
		reports []model.BucketEmpty
		want    []model.TargetID
	}{
		"older than the move":  {[]model.BucketEmpty{report(9, 19)}, nil},
		"at the move":          {[]model.BucketEmpty{report(9, 20)}, []model.TargetID{8}},
		"after the move":       {[]model.BucketEmpty{report(9, 21)}, []model.TargetID{8}},
		"both":                 {[]model.BucketEmpty{report(8, 30), report(9, 30)}, []model.TargetID{}},
		"twice":                {[]model.BucketEmpty{report(8, 30), report(8, 30)}, []model.TargetID{9}},
		"of the head":          {[]model.BucketEmpty{report(row.Head, 30)}, nil},
		"of another service":   {[]model.BucketEmpty{foreign}, nil},
		"of an unknown bucket": {[]model.BucketEmpty{outside}, nil},
		"old and new report":   {[]model.BucketEmpty{report(8, 9), report(9, 25)}, []model.TargetID{8}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rows := routing.RemoveEarlierTargets(table, test.reports)
			if test.want == nil {
				require.Empty(t, rows)
				return
			}
			require.Len(t, rows, 1)
			left := []model.TargetID{}
			for _, entry := range rows[0].Earlier {
				left = append(left, entry.Target)
			}
			require.Equal(t, test.want, left)
			require.Len(t, table.Earlier[5], 2, "the table must not be modified")
		})
	}
}
