package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

var start = time.Date(2030, time.March, 1, 12, 0, 0, 0, time.UTC)

// numberedFlow returns a flow whose source address and port are different for each number.
func numberedFlow(number int) model.FiveTuple {
	source := netip.AddrFrom4([4]byte{127, byte(number >> 22), byte(number >> 14), byte(number >> 6)})
	return model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.AddrPortFrom(source, uint16(1024+number&63)),
		Destination: netip.MustParseAddrPort("127.2.0.1:443"),
	}
}

func TestCacheInsertLookupAndRemove(t *testing.T) {
	cache := flow.NewCache(1000)
	first, second := numberedFlow(1), numberedFlow(2)
	hash := routing.FlowHash(first)
	cache.Insert(hash, first, 11)
	owner, known := cache.Lookup(hash, first)
	require.True(t, known)
	require.EqualValues(t, 11, owner)

	_, known = cache.Lookup(hash, second)
	require.False(t, known, "another flow with the same hash")

	cache.Insert(hash, first, 12)
	owner, _ = cache.Lookup(hash, first)
	require.EqualValues(t, 12, owner)
	require.Equal(t, 1, cache.Len())

	cache.Insert(hash, second, 0)
	require.Equal(t, 1, cache.Len(), "a zero owner is not stored")

	cache.Remove(hash, first)
	cache.Remove(hash, first)
	_, known = cache.Lookup(hash, first)
	require.False(t, known)
	require.Zero(t, cache.Len())
}

func TestCacheHasFixedSizeAndKeepsFlowsInUse(t *testing.T) {
	const capacity = 4096
	cache := flow.NewCache(capacity)
	used := numberedFlow(0)
	usedHash := routing.FlowHash(used)
	cache.Insert(usedHash, used, 1)
	for number := 1; number < 20*capacity; number++ {
		other := numberedFlow(number)
		cache.Insert(routing.FlowHash(other), other, 2)
		_, known := cache.Lookup(usedHash, used)
		require.True(t, known, "a flow in use was evicted after %d inserts", number)
	}
	require.LessOrEqual(t, cache.Len(), cache.Capacity())
	require.LessOrEqual(t, cache.Capacity(), 2*capacity)
}

func TestCacheInsertIfFreeEvictsNoFlow(t *testing.T) {
	const capacity = 1000
	cache := flow.NewCache(capacity)
	for number := range 20 * capacity {
		inserted := numberedFlow(number)
		cache.Insert(routing.FlowHash(inserted), inserted, 1)
	}
	known := make(map[int]bool)
	for number := range 20 * capacity {
		cached := numberedFlow(number)
		_, known[number] = cache.Lookup(routing.FlowHash(cached), cached)
	}
	full := cache.Len()
	for number := 20 * capacity; number < 40*capacity; number++ {
		other := numberedFlow(number)
		cache.InsertIfFree(routing.FlowHash(other), other, 2)
	}
	for number, wasKnown := range known {
		cached := numberedFlow(number)
		_, isKnown := cache.Lookup(routing.FlowHash(cached), cached)
		require.Equal(t, wasKnown, isKnown, "flow %d", number)
	}
	require.Equal(t, full, cache.Len(), "the cache was full")

	newCache := flow.NewCache(capacity)
	hash := routing.FlowHash(numberedFlow(1))
	newCache.InsertIfFree(hash, numberedFlow(1), 1)
	newCache.InsertIfFree(hash, numberedFlow(1), 2)
	owner, _ := newCache.Lookup(hash, numberedFlow(1))
	require.EqualValues(t, 2, owner, "the entry of a known flow is updated")
	require.Equal(t, 1, newCache.Len())
}

func TestCacheKeepsMostFlowsUpToItsCapacity(t *testing.T) {
	const capacity = 50_000
	cache := flow.NewCache(capacity)
	for number := range capacity {
		inserted := numberedFlow(number)
		cache.Insert(routing.FlowHash(inserted), inserted, 1)
	}
	require.Greater(t, cache.Len(), capacity*95/100)
}

// newOwnedFlows returns the empty owned flows of target 3 of service 7.
func newOwnedFlows(options flow.OwnedFlowsOptions) *flow.OwnedFlows {
	options.Service = 7
	options.Target = 3
	return flow.NewOwnedFlows(options)
}

func TestOwnedFlowsOpenOnceAndClose(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{})
	opened := numberedFlow(1)
	require.False(t, owned.Touch(start, 4, opened))
	require.Equal(t, flow.OpenNew, owned.Open(start, 4, opened, 10))
	require.Equal(t, flow.OpenExisting, owned.Open(start, 4, opened, 10))
	require.True(t, owned.Touch(start, 4, opened))
	require.Equal(t, 1, owned.Len())
	require.Equal(t, 1, owned.BucketLen(4))
	require.True(t, owned.Close(4, opened))
	require.False(t, owned.Close(4, opened))
	require.Zero(t, owned.Len())
	require.Zero(t, owned.BucketLen(4))
}

func TestOwnedFlowsRefuseNewFlowsRatherThanEvict(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{MaximumFlows: 2})
	require.Equal(t, flow.OpenNew, owned.Open(start, 1, numberedFlow(1), 1))
	require.Equal(t, flow.OpenNew, owned.Open(start, 2, numberedFlow(2), 1))
	require.Equal(t, flow.OpenFull, owned.Open(start, 3, numberedFlow(3), 1))
	require.True(t, owned.Touch(start, 1, numberedFlow(1)))
	require.True(t, owned.Touch(start, 2, numberedFlow(2)))
	require.Equal(t, 2, owned.Len())
	owned.Close(1, numberedFlow(1))
	require.Equal(t, flow.OpenNew, owned.Open(start, 3, numberedFlow(3), 1))
}

func TestOwnedFlowsExpireIdleFlowsOnly(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{IdleTimeout: time.Minute})
	owned.Open(start, 1, numberedFlow(1), 1)
	owned.Open(start, 1, numberedFlow(2), 1)
	owned.Touch(start.Add(30*time.Second), 1, numberedFlow(2))
	require.Empty(t, owned.Expire(start.Add(59*time.Second)))
	require.Equal(t, []model.FiveTuple{numberedFlow(1)}, owned.Expire(start.Add(time.Minute)))
	require.True(t, owned.Touch(start.Add(time.Minute), 1, numberedFlow(2)))
	require.Equal(t, 1, owned.BucketLen(1))
}

func TestOwnedFlowsFenceRefusesOlderDecisions(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{})
	owned.RaiseFence(1, 20, []model.TargetID{5, 3})
	owned.RaiseFence(1, 15, []model.TargetID{6, 3})
	require.Equal(t, flow.Fence{Revision: 20, Chain: []model.TargetID{5, 3}}, owned.Fence(1))
	require.Equal(t, flow.OpenFenced, owned.Open(start, 1, numberedFlow(1), 19))
	require.Equal(t, flow.OpenNew, owned.Open(start, 1, numberedFlow(1), 20))
	require.Equal(t, flow.OpenNew, owned.Open(start, 2, numberedFlow(2), 1), "another bucket")
	_, assigned := owned.Assign(start, 1, numberedFlow(3), 5, 19)
	require.False(t, assigned)
}

func TestOwnedFlowsReportBucketsEmptyAndFenceThem(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{AssignmentLifetime: time.Minute})
	owned.Open(start, 1, numberedFlow(1), 10)
	_, assigned := owned.Assign(start, 2, numberedFlow(2), 9, 10)
	require.True(t, assigned)
	candidates := []model.BucketIndex{1, 2, 3}
	report := func(bucket model.BucketIndex) model.BucketEmpty {
		return model.BucketEmpty{Service: 7, Target: 3, Bucket: bucket, At: 12}
	}
	require.Equal(t, []model.BucketEmpty{report(3)}, owned.FenceEmpty(12, candidates))
	require.Equal(t, flow.OpenFenced, owned.Open(start, 3, numberedFlow(3), 11),
		"a decision made before the report must not open a flow after it")

	owned.Close(1, numberedFlow(1))
	require.Equal(t, []model.BucketEmpty{report(1), report(3)}, owned.FenceEmpty(12, candidates))
	owned.Expire(start.Add(time.Minute))
	require.Equal(t, []model.BucketEmpty{report(1), report(2), report(3)}, owned.FenceEmpty(12, candidates))
}

func TestOwnedFlowsKeepAssignments(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{MaximumFlows: 1, AssignmentLifetime: time.Minute})
	target, assigned := owned.Assign(start, 1, numberedFlow(1), 9, 1)
	require.True(t, assigned)
	require.EqualValues(t, 9, target)
	target, assigned = owned.Assign(start, 1, numberedFlow(1), 8, 1)
	require.True(t, assigned)
	require.EqualValues(t, 9, target, "the first choice stays")
	_, assigned = owned.Assign(start, 1, numberedFlow(2), 9, 1)
	require.False(t, assigned, "as many assignments as allowed")

	_, known := owned.LookupAssignment(start.Add(50*time.Second), 1, numberedFlow(1))
	require.True(t, known)
	owned.Expire(start.Add(100 * time.Second))
	_, known = owned.LookupAssignment(start.Add(100*time.Second), 1, numberedFlow(1))
	require.True(t, known, "the latest lookup was 50 s ago")

	require.Equal(t, flow.OpenNew, owned.Open(start, 1, numberedFlow(1), 1))
	_, known = owned.LookupAssignment(start, 1, numberedFlow(1))
	require.False(t, known, "opening the flow removes its assignment")
	require.Zero(t, owned.AssignmentCount())
}

func TestRemoveAssignmentRemovesOnlyThatOfTheGivenTarget(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{})
	_, assigned := owned.Assign(start, 3, numberedFlow(1), 12, 7)
	require.True(t, assigned)
	owned.RemoveAssignment(3, numberedFlow(1), 11)
	require.Equal(t, 1, owned.AssignmentCount())
	owned.RemoveAssignment(3, numberedFlow(1), 12)
	require.Zero(t, owned.AssignmentCount())
	require.NotEmpty(t, owned.FenceEmpty(8, []model.BucketIndex{3}))
}

// A head that assigned a flow to the alternate and gets it back opens it itself. That removes the
// assignment, but the bucket must still count the flow: otherwise it would be reported empty.
func TestOwnedFlowsCountAnOpenedFlowThatWasAssigned(t *testing.T) {
	owned := newOwnedFlows(flow.OwnedFlowsOptions{})
	returned := numberedFlow(1)
	_, assigned := owned.Assign(start, 3, returned, 12, 7)
	require.True(t, assigned)
	require.Equal(t, flow.OpenNew, owned.Open(start, 3, returned, 7))
	require.Zero(t, owned.AssignmentCount())
	require.Equal(t, 1, owned.BucketLen(3))
	require.Empty(t, owned.FenceEmpty(8, []model.BucketIndex{3}), "the bucket holds a flow")
}
